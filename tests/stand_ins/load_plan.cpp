#include "tests/stand_ins/load_plan.h"

#include "tests/stand_ins/json_fields.h"

#include <set>
#include <stdexcept>

namespace sardinelb::stand_ins {

namespace {

// Reads the optional fields of a JSON object. rejectUnknownFields() throws if it has fields that were not read.
class object_reader {
public:
    object_reader(const nlohmann::json& object, std::string pathPrefix)
        : m_object(object)
        , m_pathPrefix(std::move(pathPrefix))
    {
        if (!object.is_object())
            throw std::invalid_argument("field '" + m_pathPrefix + "' must be an object");
    }

    void read(const std::string& name, std::string& value) { readAs(name, value, &nlohmann::json::is_string); }

    void read(const std::string& name, std::uint64_t& value)
    {
        readAs(name, value, &nlohmann::json::is_number_unsigned);
    }

    void read(const std::string& name, double& value) { readAs(name, value, &nlohmann::json::is_number); }

    void read(const std::string& name, std::vector<std::string>& value)
    {
        readAs(name, value, &nlohmann::json::is_array);
    }

    void read(const std::string& name, load_plan::range& value)
    {
        std::vector<std::uint64_t> bounds = { value.lowest, value.highest };
        readAs(name, bounds, &nlohmann::json::is_array);
        if (bounds.size() != 2 || bounds[0] > bounds[1])
            reject(name);
        value = { bounds[0], bounds[1] };
    }

    // Reads a duration in milliseconds.
    void read(const std::string& name, duration& value)
    {
        auto milliseconds = static_cast<std::uint64_t>(std::chrono::floor<std::chrono::milliseconds>(value).count());
        read(name, milliseconds);
        value = std::chrono::milliseconds(milliseconds);
    }

    const nlohmann::json& child(const std::string& name)
    {
        static const nlohmann::json none = nlohmann::json::object();
        m_knownFields.insert(name);
        const auto field = m_object.find(name);
        return field == m_object.end() ? none : *field;
    }

    void rejectUnknownFields() const
    {
        for (const auto& [name, value] : m_object.items()) {
            if (!m_knownFields.contains(name))
                throw std::invalid_argument("field '" + m_pathPrefix + name + "' is unknown");
        }
    }

private:
    template <typename Value>
    void readAs(const std::string& name, Value& value, bool (nlohmann::json::*hasType)() const noexcept)
    {
        m_knownFields.insert(name);
        const auto field = m_object.find(name);
        if (field == m_object.end())
            return;
        if (!((*field).*hasType)())
            reject(name);
        try {
            value = field->get<Value>();
        } catch (const nlohmann::json::exception&) {
            reject(name);
        }
    }

    [[noreturn]] void reject(const std::string& name) const
    {
        throw std::invalid_argument("field '" + m_pathPrefix + name + "' has an invalid type or value");
    }

    const nlohmann::json& m_object;
    std::string m_pathPrefix;
    std::set<std::string> m_knownFields;
};

void readChat(const nlohmann::json& object, load_plan::chat_plan& chat)
{
    object_reader reader(object, "chat.");
    reader.read("count", chat.count);
    reader.read("streamed_share", chat.streamedShare);
    reader.read("long_share", chat.longShare);
    reader.read("short_tokens", chat.shortTokens);
    reader.read("long_tokens", chat.longTokens);
    reader.read("prompt_bytes", chat.promptBytes);
    reader.read("shared_prefix_bytes", chat.sharedPrefixBytes);
    reader.read("prompt_template", chat.promptTemplate);
    reader.rejectUnknownFields();
}

void readBookings(const nlohmann::json& object, load_plan::booking_plan& bookings)
{
    object_reader reader(object, "bookings.");
    reader.read("count", bookings.count);
    reader.read("path", bookings.path);
    reader.rejectUnknownFields();
}

void readResend(const nlohmann::json& object, load_plan::resend_plan& resend)
{
    object_reader reader(object, "resend.");
    reader.read("attempts", resend.attempts);
    reader.read("first_delay_ms", resend.firstDelay);
    reader.read("longest_delay_ms", resend.longestDelay);
    reader.rejectUnknownFields();
}

void require(bool condition, const std::string& message)
{
    if (!condition)
        throw std::invalid_argument(message);
}

void validatePlan(const load_plan& plan)
{
    require(!plan.entryAddresses.empty(), "field 'entries' must contain at least one address");
    require(!plan.keys.empty(), "field 'keys' must contain at least one bearer key");
    require(plan.concurrency > 0, "field 'concurrency' must be above 0");
    require(plan.resend.attempts > 0, "field 'resend.attempts' must be above 0");
    require(plan.chat.shortTokens.lowest > 0, "field 'chat.short_tokens' must be above 0");
    require(plan.chat.longTokens.lowest > 0, "field 'chat.long_tokens' must be above 0");
    require(plan.chat.streamedShare >= 0 && plan.chat.streamedShare <= 1, "field 'chat.streamed_share' must be from 0 to 1");
    require(plan.chat.longShare >= 0 && plan.chat.longShare <= 1, "field 'chat.long_share' must be from 0 to 1");
}

}

load_plan parseLoadPlan(const std::string& text)
{
    const auto object = parseObject(text);
    load_plan plan;
    object_reader reader(object, "");
    reader.read("run", plan.run);
    reader.read("seed", plan.seed);
    reader.read("entries", plan.entryAddresses);
    reader.read("services", plan.serviceAddresses);
    reader.read("keys", plan.keys);
    reader.read("model", plan.model);
    reader.read("concurrency", plan.concurrency);
    reader.read("requests_per_second", plan.requestsPerSecond);
    reader.read("timeout_ms", plan.timeout);
    readChat(reader.child("chat"), plan.chat);
    readBookings(reader.child("bookings"), plan.bookings);
    readResend(reader.child("resend"), plan.resend);
    reader.rejectUnknownFields();
    validatePlan(plan);
    return plan;
}

}
