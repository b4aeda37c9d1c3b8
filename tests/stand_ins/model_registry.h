#pragma once

#include "state/time.h"
#include "tests/stand_ins/model_order.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardinelb::stand_ins {

// Models and role of an engine, and the orders that changed them. Orders are idempotent.
class model_registry {
public:
    // `loadTime` is the time that loading a model takes.
    model_registry(bool checksFencing, duration loadTime);

    // Applies the order. Returns false, without effect, if fencing is checked and an earlier order had a higher
    // fencing number.
    bool apply(const model_order&, time_point now);

    std::vector<std::string> loaded(time_point now) const;
    std::vector<std::string> loading(time_point now) const;
    const std::string& role() const { return m_role; }
    std::uint64_t highestFencingNumber() const { return m_highestFencingNumber; }

    // Applied orders, oldest first.
    const std::vector<model_order>& appliedOrders() const { return m_applied; }

private:
    std::vector<std::string> modelsWithLoadedState(bool loaded, time_point now) const;

    bool m_checksFencing;
    duration m_loadTime;
    // Models and the times from which they are loaded.
    std::map<std::string, time_point> m_models;
    std::string m_role = "serve";
    std::uint64_t m_highestFencingNumber = 0;
    std::vector<model_order> m_applied;
};

}
