#include "Workload.h"

namespace chestnut {

namespace {

    /** In words of about five characters; 1,600 words fill about one block of 2,048 tokens. */
    constexpr uint32_t styleSheetWords = 6400;
    constexpr uint32_t stragglerOutputFactor = 10;
    constexpr Duration batchTimeout = std::chrono::seconds(120);

} // namespace

Workload::Workload(WorkloadSettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
{
    m_styleSheet = randomWords(styleSheetWords, styleSheetWords);
}

std::optional<PlannedRequest> Workload::next()
{
    auto progress = toSeconds(m_now) / toSeconds(m_settings.duration);
    bool isSpike = progress >= 0.4 && progress < 0.6;
    auto rate = m_settings.requestsPerSecond * (isSpike ? m_settings.spikeFactor : 1);
    m_now += fromSeconds(std::exponential_distribution<double>(rate)(m_random));
    if (m_now >= m_settings.duration || m_count >= m_settings.maximumRequests)
        return std::nullopt;
    constexpr double usualLongShare = 0.3;
    auto longShare = progress < 0.5 ? usualLongShare : std::min(0.9, usualLongShare * (1 + m_settings.mixShift));
    auto request = m_settings.name == "saranrat" ? saranrat(longShare) : tanner(longShare);
    request.at = m_now;
    request.account = m_settings.name + "-" + std::to_string(between(1, std::max(1U, m_settings.accounts)));
    ++m_count;
    return request;
}

PlannedRequest Workload::tanner(double longShare)
{
    auto draw = uniform();
    // A catalogue match has a long prompt, a catalogue section, and a short output, yes or no.
    if (draw < longShare)
        return longCompletion("catalogue_match", "Does this part fit? " + randomWords(1600, 8000), 4, 16);
    PlannedRequest request;
    auto rest = (draw - longShare) / (1 - longShare);
    auto part = std::to_string(between(1, 5000));
    if (rest < 0.5) {
        request.name = "handle_description";
        request.prompt = "Describe the handle of part " + part + ": " + randomWords(20, 120);
        request.maximumTokens = between(30, 90);
        return request;
    }
    request.service = "orders";
    request.kind = rest < 0.75 ? LoadKind::ServiceRead : LoadKind::ServiceWrite;
    request.name = rest < 0.75 ? "stock_lookup" : "spares_order";
    request.serviceTarget = rest < 0.75 ? "/stock?part=" + part : "/book";
    if (request.kind == LoadKind::ServiceWrite)
        request.serviceBody = "{\"part\":" + part + ",\"note\":\"" + randomWords(3, 8) + "\"}";
    return request;
}

PlannedRequest Workload::saranrat(double longShare)
{
    auto draw = uniform();
    if (draw < longShare)
        return longCompletion("glossary_batch", m_styleSheet + " Terms: " + randomWords(100, 800), 80, 300);
    PlannedRequest request;
    auto rest = (draw - longShare) / (1 - longShare);
    auto term = std::to_string(between(1, 20000));
    if (rest < 0.55) {
        request.name = "term_lookup";
        request.prompt = "Give the approved term for entry " + term + ": " + randomWords(10, 60);
        request.maximumTokens = between(10, 50);
        return request;
    }
    request.service = "glossary";
    request.kind = rest < 0.85 ? LoadKind::ServiceRead : LoadKind::ServiceWrite;
    request.name = rest < 0.85 ? "glossary_read" : "term_approval";
    request.serviceTarget = rest < 0.85 ? "/entries/" + term : "/approve";
    if (request.kind == LoadKind::ServiceWrite)
        request.serviceBody = "{\"term\":" + term + ",\"text\":\"" + randomWords(2, 6) + "\"}";
    return request;
}

PlannedRequest Workload::longCompletion(const std::string& name, const std::string& prompt, uint32_t lowestTokens, uint32_t highestTokens)
{
    PlannedRequest request;
    request.name = name;
    request.priorityClass = PriorityClass::Batch;
    request.isStreamed = uniform() < 0.5;
    request.prompt = prompt;
    request.maximumTokens = between(lowestTokens, highestTokens);
    if (uniform() < m_settings.stragglerShare)
        request.maximumTokens *= stragglerOutputFactor;
    request.timeout = batchTimeout;
    return request;
}

std::string Workload::randomWords(uint32_t lowestCount, uint32_t highestCount)
{
    static const std::string letters = "abcdefghijklmnopqrstuvwxyz";
    auto count = between(lowestCount, highestCount);
    std::string text;
    for (uint32_t i = 0; i < count; ++i) {
        for (int j = 0; j < 4; ++j)
            text += letters[between(0, 25)];
        text += ' ';
    }
    return text;
}

uint32_t Workload::between(uint32_t lowest, uint32_t highest)
{
    return std::uniform_int_distribution<uint32_t>(lowest, highest)(m_random);
}

double Workload::uniform()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

} // namespace chestnut
