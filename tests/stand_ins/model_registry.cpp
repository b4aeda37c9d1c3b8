#include "tests/stand_ins/model_registry.h"

#include <algorithm>

namespace sardinelb::stand_ins {

model_registry::model_registry(bool checksFencing, duration loadTime)
    : m_checksFencing(checksFencing)
    , m_loadTime(loadTime)
{
}

bool model_registry::apply(const model_order& order, time_point now)
{
    if (m_checksFencing && order.fencingNumber < m_highestFencingNumber)
        return false;
    m_highestFencingNumber = std::max(m_highestFencingNumber, order.fencingNumber);
    m_applied.push_back(order);
    switch (order.kind) {
    case model_order_kind::Load:
        m_models.try_emplace(order.subject, now + m_loadTime);
        break;
    case model_order_kind::Unload:
        m_models.erase(order.subject);
        break;
    case model_order_kind::Role:
        m_role = order.subject;
        break;
    }
    return true;
}

std::vector<std::string> model_registry::loaded(time_point now) const
{
    return modelsWithLoadedState(true, now);
}

std::vector<std::string> model_registry::loading(time_point now) const
{
    return modelsWithLoadedState(false, now);
}

std::vector<std::string> model_registry::modelsWithLoadedState(bool loaded, time_point now) const
{
    std::vector<std::string> models;
    for (const auto& [model, loadedAt] : m_models) {
        if ((loadedAt <= now) == loaded)
            models.push_back(model);
    }
    return models;
}

}
