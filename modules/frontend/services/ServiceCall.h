#pragma once

#include "frontend/dispatch/Dispatcher.h"
#include "frontend/replicas/LossCheck.h"

namespace chestnut {

/** A call under /services/<service>/... */
struct ServiceRequest {
    CallerRequest caller;
    ServiceId service;
    HttpRequest forwarded; /**< the request for the backend server, without X-Request-Id */

    bool isIdempotent() const { return forwarded.method == "GET" || forwarded.method == "HEAD"; }
};

/** Parses the service and the forwarded target. Errors: UnknownService when the target names no service, BadKey when a
    call that is not idempotent has no idempotency key. */
Result<ServiceRequest> parseServiceRequest(CallerRequest, const HttpRequest&);

/** One call to a plain service. An idempotent call is retried and hedged. A call that is not idempotent first claims its
    idempotency key and is then sent once; another replica is tried only when no byte was sent. */
class ServiceCall : public std::enable_shared_from_this<ServiceCall> {
public:
    ServiceCall(FrontendStatePointer, std::shared_ptr<Dispatcher>, ServiceRequest);

    asio::awaitable<Result<HttpResponse>> run();

    /** Call when the caller disconnected. A claimed call still runs to its end, so that a retry gets its response. */
    void onCallerDisconnected();

    uint32_t attempts() const { return m_attemptCount; }
    const ReplicaId& lastReplica() const { return m_lastReplica; }

private:
    struct Attempt {
        ReplicaReservation target;
        std::optional<Result<HttpResponse>> response;
        bool isAbandoned = false;
    };
    using AttemptPointer = std::shared_ptr<Attempt>;

    DispatchRequest dispatchRequest() const;
    HttpRequest requestForAttempt();
    asio::awaitable<Result<HttpResponse>> runIdempotent();
    asio::awaitable<Result<HttpResponse>> runClaimed();
    asio::awaitable<Error> refusalAfterClaimLookup(Error refusal, std::optional<Error> earlierError);
    asio::awaitable<Result<HttpResponse>> dispatchClaimed(ReplicaReservation);
    asio::awaitable<Result<HttpResponse>> runAttempts(ReplicaReservation);
    void startAttempt(ReplicaReservation);
    void startHedge();
    static asio::awaitable<void> runAttempt(FrontendStatePointer, AttemptPointer, HttpRequest, Duration timeout, std::shared_ptr<AutoResetEvent> wakeup);
    /** Waits for the loss checks, broadcasts a loss and waits for the retry delay. False when the call must not be retried. */
    asio::awaitable<bool> prepareRetry(const Error&);
    void recordAttemptFailure(const ReplicaReservation&, const Error&);
    Duration remaining() const;

    FrontendStatePointer m_state;
    std::shared_ptr<Dispatcher> m_dispatcher;
    ServiceRequest m_request;
    std::shared_ptr<AutoResetEvent> m_wakeup;
    std::vector<AttemptPointer> m_attempts;
    LossChecks m_lossChecks;
    std::optional<TimePoint> m_hedgeAt;
    std::vector<ReplicaId> m_excluded;
    uint32_t m_attemptCount = 0;
    uint32_t m_backendsLost = 0;
    bool m_mayHaveRun = false;
    bool m_isCallerDisconnected = false;
    ReplicaId m_lastReplica;
};

} // namespace chestnut
