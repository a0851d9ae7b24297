#pragma once

#include "gateway/requests/RelayContext.h"

namespace chestnut {

/** Binds one stream to the software version of the engine that sends its first event. What engines of two versions write does not fit together,
    so that the stream goes on only at engines of that version, within one response and when its client resumes it. */
class VersionBinding {
public:
    explicit VersionBinding(RelayContext&);

    /** Finds the version of a stream that the client resumes. Succeeds for a new request. Fails with NotReady if the version cannot be known. */
    asio::awaitable<Result<void>> resolve();

    /** Notes that a run begins at the engine, and begins to write its record. */
    void beginRun(const ReplicaEntry&);

    /** Binds the stream to the version of the engine whose first event the client is about to receive. Waits for the record. */
    asio::awaitable<void> bind(const ReplicaEntry&);

private:
    StreamName nameOf(const RequestId& attempt) const;
    bool mayBeResumed() const;
    void logResumption(const Result<StreamVersion>&, TimePoint since) const;

    RelayContext& m_relay;
    StreamRecords::WritingPointer m_writing; /**< of the present run; null where it needs no record */
    uint32_t m_records = 0; /**< of runs before the first event */
    bool m_isBound = false; /**< the client has received an event of this response */
};

} // namespace chestnut
