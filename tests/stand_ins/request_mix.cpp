#include "tests/stand_ins/request_mix.h"

#include "tests/stand_ins/json_fields.h"
#include "tests/stand_ins/load_plan.h"
#include "tests/stand_ins/token_text.h"

#include <algorithm>
#include <random>

namespace sardinelb::stand_ins {

namespace {

// Generates the random requests of a plan.
class request_generator {
public:
    explicit request_generator(const load_plan& plan)
        : m_plan(plan)
        , m_random(plan.seed)
    {
    }

    load_request chat(std::uint64_t number)
    {
        const auto& plan = m_plan.chat;
        const bool isLong = drawBool(plan.longShare);
        const bool isStreamed = drawBool(plan.streamedShare);
        const auto keyIndex = draw({ 0, m_plan.keys.size() - 1 });
        const auto content = prompt(keyIndex, number);

        load_request request;
        request.kind = isStreamed ? load_request_kind::StreamedChat : load_request_kind::PlainChat;
        request.key = m_plan.keys[keyIndex];
        request.path = "/v1/chat/completions";
        request.expectedTokens = draw(isLong ? plan.longTokens : plan.shortTokens);
        // Requests without a seed reach the engines with seed 0.
        request.expectedText = token_text(renderPrompt(content), 0).tokens(0, request.expectedTokens);
        nlohmann::json body = { { "model", m_plan.model }, { "max_tokens", request.expectedTokens } };
        body["messages"] = { { { "role", "user" }, { "content", content } } };
        body["stream"] = isStreamed;
        request.body = toText(body);
        return request;
    }

    load_request booking(std::uint64_t number)
    {
        const auto reference = uniqueLabel(number);
        constexpr load_plan::range seats { 1, 9 };
        load_request request;
        request.kind = load_request_kind::Booking;
        request.key = m_plan.keys[draw({ 0, m_plan.keys.size() - 1 })];
        request.path = m_plan.bookings.path;
        request.idempotencyKey = reference;
        request.body = toText({ { "reference", reference }, { "seats", draw(seats) } });
        request.expectedText = request.body;
        return request;
    }

    template <typename Value>
    void shuffle(std::vector<Value>& values)
    {
        std::shuffle(values.begin(), values.end(), m_random);
    }

private:
    std::uint64_t draw(load_plan::range bounds)
    {
        return std::uniform_int_distribution<std::uint64_t>(bounds.lowest, bounds.highest)(m_random);
    }

    bool drawBool(double probability) { return std::bernoulli_distribution(probability)(m_random); }

    // Unique for every request of every run.
    std::string uniqueLabel(std::uint64_t number) const
    {
        return m_plan.run + "-" + std::to_string(m_plan.seed) + "-" + std::to_string(number);
    }

    std::string prompt(std::size_t keyIndex, std::uint64_t number)
    {
        const auto bytes = draw(m_plan.chat.promptBytes);
        std::string text = "Shared context " + std::to_string(keyIndex) + ": ";
        text.resize(m_plan.chat.sharedPrefixBytes, static_cast<char>('a' + static_cast<char>(keyIndex % letterCount)));
        text += " Request " + uniqueLabel(number) + ": ";
        while (text.size() < bytes)
            text += static_cast<char>('a' + static_cast<char>(draw({ 0, letterCount - 1 })));
        return text;
    }

    std::string renderPrompt(const std::string& content) const
    {
        const std::string placeholder = "{content}";
        auto text = m_plan.chat.promptTemplate;
        const auto position = text.find(placeholder);
        return position == std::string::npos ? text : text.replace(position, placeholder.size(), content);
    }

    static constexpr std::uint64_t letterCount = 26;

    const load_plan& m_plan;
    std::mt19937_64 m_random;
};

}

std::vector<load_request> requestMix(const load_plan& plan)
{
    request_generator source(plan);
    std::vector<load_request> requests;
    for (std::uint64_t number = 0; number < plan.chat.count; ++number)
        requests.push_back(source.chat(number));
    for (std::uint64_t number = 0; number < plan.bookings.count; ++number)
        requests.push_back(source.booking(number));
    source.shuffle(requests);
    return requests;
}

}
