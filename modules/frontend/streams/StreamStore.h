#pragma once

#include "backends/engines/CompletionBody.h"
#include "frontend/requests/CallerRequest.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <vector>

namespace chestnut {

/** A completion and the tokens that it has produced so far. */
struct StreamRecord {
    CallerRequest caller;
    std::string target;
    std::string body; /**< of the caller's request; empty when this daemon resumed the stream without it */
    ModelId model;
    bool isChat = false;
    uint32_t maximumTokens = 0;
    std::vector<uint64_t> blocks;
    double promptTokens = 0;
    uint64_t firstIndex = 1; /**< index of the first entry of `tokens` */
    std::vector<std::string> tokens; /**< the text of each token */
    std::string finishReason; /**< empty until the last token */
    std::string digestPrefix; /**< part of the stream ids */
    std::string streamId; /**< the current one; it changes with the engine */
    DaemonId movedTo; /**< the daemon that the stream was handed over to; empty otherwise */
    std::function<void()> stopSession; /**< stops the session that writes to an earlier connection; empty when none runs */
    uint32_t runningSessions = 0; /**< a stopped session ends after its successor has started */
    bool isResumable = false; /**< the caller receives the stream's id */
    TimePoint endedAt {};
    size_t bytes = 0;

    uint64_t lastIndex() const { return firstIndex + tokens.size() - 1; }
    /** The output up to and including a token, for an engine that continues after it. */
    std::string textThrough(uint64_t index) const;
};

/** Streams that callers may resume at this daemon. A stream is kept while it runs and for a minute after its connection
    ended. When the ended streams exceed maximumBytes, the oldest are removed first. */
class StreamStore {
public:
    static constexpr Duration retentionTime = std::chrono::seconds(60);
    static constexpr size_t maximumBytes = 32 << 20;

    /** Registers the stream under its current id; earlier ids stay valid. */
    void add(const std::shared_ptr<StreamRecord>&);
    std::shared_ptr<StreamRecord> find(const std::string& streamId) const;
    /** Starts the stream's retention time unless another session still runs it. */
    void end(const std::shared_ptr<StreamRecord>&, TimePoint now);
    void expire(TimePoint now);

private:
    void erase(const std::shared_ptr<StreamRecord>&);

    std::map<std::string, std::shared_ptr<StreamRecord>> m_byId;
    std::list<std::shared_ptr<StreamRecord>> m_ended; /**< oldest first */
    size_t m_endedBytes = 0;
};

} // namespace chestnut
