#pragma once

#include <cstddef>
#include <list>
#include <unordered_map>
#include <utility>

namespace sardinelb {

// Map with bounded capacity: when it is full, a new key evicts the least recently used one.
template <typename Key, typename Value>
class lru_map {
public:
    explicit lru_map(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    // Value of the key, or null. Does not count as a use.
    const Value* find(const Key& key) const
    {
        const auto found = m_byKey.find(key);
        return found == m_byKey.end() ? nullptr : &found->second->second;
    }

    // Marks the key as most recently used, inserting a default value if it is absent. The reference is valid until the
    // key is evicted or erased.
    Value& touch(const Key& key)
    {
        const auto found = m_byKey.find(key);
        if (found != m_byKey.end()) {
            m_entries.splice(m_entries.begin(), m_entries, found->second);
            return found->second->second;
        }
        if (m_entries.size() >= m_capacity) {
            m_byKey.erase(m_entries.back().first);
            m_entries.pop_back();
        }
        m_entries.emplace_front(key, Value());
        m_byKey.emplace(key, m_entries.begin());
        return m_entries.front().second;
    }

    void erase(const Key& key)
    {
        const auto found = m_byKey.find(key);
        if (found == m_byKey.end())
            return;
        m_entries.erase(found->second);
        m_byKey.erase(found);
    }

    // Erases the entries for which the predicate, given the value, returns true. The predicate may change the value.
    template <typename Predicate>
    void eraseIf(Predicate predicate)
    {
        for (auto entry = m_entries.begin(); entry != m_entries.end();) {
            if (!predicate(entry->second)) {
                ++entry;
                continue;
            }
            m_byKey.erase(entry->first);
            entry = m_entries.erase(entry);
        }
    }

    std::size_t size() const { return m_entries.size(); }

private:
    using entry_list = std::list<std::pair<Key, Value>>;

    std::size_t m_capacity;
    // Most recently used entry first.
    entry_list m_entries;
    std::unordered_map<Key, typename entry_list::iterator> m_byKey;
};

}
