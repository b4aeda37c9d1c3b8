#include "tests/stand_ins/fault_middleware.h"

#include "tests/stand_ins/event_loop.h"
#include "tests/stand_ins/http_exchange.h"
#include "tests/stand_ins/json_fields.h"

#include <algorithm>
#include <stdexcept>

namespace sardinelb::stand_ins {

namespace {

constexpr double microsecondsPerMillisecond = 1000;

duration fromMilliseconds(double milliseconds)
{
    return duration(static_cast<duration::rep>(milliseconds * microsecondsPerMillisecond));
}

double toMilliseconds(duration time)
{
    return static_cast<double>(time.count()) / microsecondsPerMillisecond;
}

double readNumberInRange(const std::string& name, const nlohmann::json& value, double lowest, double highest)
{
    if (!value.is_number() || value.get<double>() < lowest || value.get<double>() > highest) {
        const auto range = std::to_string(lowest) + " to " + std::to_string(highest);
        throw std::invalid_argument("field '" + name + "' must be a number from " + range);
    }
    return value.get<double>();
}

void setFault(fault_settings& settings, const std::string& name, const nlohmann::json& value)
{
    constexpr double maxDelayMs = 600'000;
    constexpr double minSlowdown = 0.001;
    constexpr double maxSlowdown = 1000;
    if (name == "latency_ms")
        settings.latency = fromMilliseconds(readNumberInRange(name, value, 0, maxDelayMs));
    else if (name == "down")
        settings.down = value.get<bool>();
    else if (name == "lose_answers")
        settings.loseAnswers = readNumberInRange(name, value, 0, 1);
    else if (name == "pause_before_answer_ms")
        settings.pauseBeforeAnswer = fromMilliseconds(readNumberInRange(name, value, 0, maxDelayMs));
    else if (name == "close_after_call")
        settings.closeAfterCall = readNumberInRange(name, value, 0, 1);
    else if (name == "stalled")
        settings.stalled = value.get<bool>();
    else if (name == "slowdown")
        settings.slowdown = readNumberInRange(name, value, minSlowdown, maxSlowdown);
}

nlohmann::json toJson(const fault_settings& settings)
{
    return {
        { "latency_ms", toMilliseconds(settings.latency) },
        { "down", settings.down },
        { "lose_answers", settings.loseAnswers },
        { "pause_before_answer_ms", toMilliseconds(settings.pauseBeforeAnswer) },
        { "close_after_call", settings.closeAfterCall },
        { "stalled", settings.stalled },
        { "slowdown", settings.slowdown },
    };
}

}

fault_middleware::fault_middleware(event_loop& loop, std::uint64_t seed, std::vector<std::string> supported)
    : m_loop(loop)
    , m_random(seed)
    , m_supported(std::move(supported))
{
    m_supported.insert(m_supported.end(), { "latency_ms", "down" });
}

bool fault_middleware::drawFault(double probability)
{
    return std::bernoulli_distribution(probability)(m_random);
}

http_handler fault_middleware::wrap(http_handler inner)
{
    return [this, inner = std::move(inner)](const std::shared_ptr<http_exchange>& exchange) {
        const auto& path = exchange->request().path;
        if (path == "/admin/faults")
            serveSettings(*exchange);
        else if (path.starts_with("/admin/"))
            inner(exchange);
        else
            serveWithFaults(exchange, inner);
    };
}

void fault_middleware::serveSettings(http_exchange& exchange)
{
    if (exchange.request().method == "POST") {
        fault_settings changed = m_settings;
        const auto fields = parseObject(exchange.request().body);
        for (const auto& [name, value] : fields.items()) {
            if (std::find(m_supported.begin(), m_supported.end(), name) == m_supported.end())
                throw std::invalid_argument("fault '" + name + "' is not supported");
            setFault(changed, name, value);
        }
        m_settings = changed;
        if (m_onChange)
            m_onChange();
    }
    exchange.respond(200, toText(toJson(m_settings)));
}

void fault_middleware::serveWithFaults(const std::shared_ptr<http_exchange>& exchange, const http_handler& inner) const
{
    const auto execute = [this, exchange, inner] {
        if (m_settings.down)
            exchange->respond(503, errorBody("down"));
        else
            callHandler(inner, exchange);
    };
    if (m_settings.latency == duration::zero())
        execute();
    else
        m_loop.callAt(m_loop.now() + m_settings.latency, execute);
}

}
