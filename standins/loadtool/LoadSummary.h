#pragma once

#include "base/time/TimePoint.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace chestnut {

/** How one request of the run ended. */
struct LoadResult {
    enum class End : uint8_t {
        Completed, /**< complete, of this request, each token once */
        Refused, /**< with an error of a documented kind */
        Interrupted, /**< the connection broke and the request could not be resumed or retried */
        Wrong, /**< the response is not the expected one */
    };
    End end = End::Interrupted;
    std::string name; /**< kind of work */
    std::string kind; /**< error kind of the refusal */
    std::string outcome;
    std::string detail; /**< describes an interruption or a wrong response */
    uint64_t duplicateTokens = 0;
    uint32_t resumptions = 0;
    uint32_t retries = 0;
    std::vector<Duration> firstToken; /**< time to the first token; at most one element */
    std::vector<Duration> tokenGaps;
    Duration total {};
};

/** Counts the results of a run and computes quantiles of its latencies. */
class LoadSummary {
public:
    void add(const LoadResult&);
    void addNotSent() { ++m_notSent; }

    nlohmann::json toJson() const;
    std::string toText() const;
    bool hasErrors() const { return m_wrong > 0 || m_duplicateTokens > 0; }

private:
    uint64_t m_sent = 0;
    uint64_t m_completed = 0;
    uint64_t m_interrupted = 0;
    uint64_t m_wrong = 0;
    uint64_t m_duplicateTokens = 0;
    uint64_t m_resumptions = 0;
    uint64_t m_retries = 0;
    uint64_t m_notSent = 0;
    std::map<std::string, uint64_t> m_refusals; /**< by "kind/outcome" */
    std::map<std::string, std::vector<Duration>> m_firstToken; /**< by kind of work */
    std::map<std::string, std::vector<Duration>> m_tokenGaps;
    std::map<std::string, std::vector<Duration>> m_totals;
    std::vector<std::string> m_details; /**< details of the first failed requests */
};

} // namespace chestnut
