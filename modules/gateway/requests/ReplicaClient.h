#pragma once

#include "decisions/replicas/ReplicaRegistry.h"
#include "gateway/requests/ReplicaNotice.h"
#include "gateway/requests/RoutedRequest.h"
#include "http/client/AbortHandle.h"
#include "http/client/HttpBodyStream.h"

#include <functional>
#include <memory>

namespace chestnut {

/** One attempt of a request at one replica. */
struct ReplicaCall {
    const RoutedRequest& request;
    ReplicaId replica; /**< another process at the same address refuses the request */
    std::string address; /**< IP:PORT */
    Duration timeLeft {}; /**< after which the replica cancels the request */
    std::optional<uint32_t> priority; /**< 0 is the highest, 9 the lowest; absent: the middle */
    std::optional<CacheHandle> handle; /**< KV cache of the completed prefill */
    std::optional<std::string> resumeAfter; /**< id of the last event that the client has received */
    std::shared_ptr<AbortHandle> abort;
};

/** The execution status that the response header indicates. */
enum class ExecutionStatus : uint8_t {
    Executed, /**< the request ran; the response is its result */
    NotExecuted, /**< refused; the request will not run */
    WrongReplica, /**< the address belongs to another replica, or the replica does not run this stage */
    Unverified, /**< the response has no valid seal of the replica */
};

struct ReplicaResponse {
    ExecutionStatus executionStatus = ExecutionStatus::Executed;
    HttpHeaders headers; /**< those that are forwarded to the client */
    std::unique_ptr<HttpBodyStream> body;
};

struct PrefillResponse {
    CacheHandle handle;
    uint32_t tokens = 0;
};

/** The state that an engine reports, which may be a few hundred milliseconds old. */
struct EngineReport {
    EngineStage stage = EngineStage::None;
    bool isChanging = false;
    uint64_t acceptedOrders = 0;
    uint32_t waiting = 0;
    uint32_t running = 0;
};

/** An order to an engine to change its stage. */
struct StageOrder {
    ReplicaId replica;
    std::string address;
    EngineStage stage = EngineStage::None;
    std::string holder; /**< the daemon that sends the order */
    FencingNumber fencingNumber = 0;
    uint64_t expectedOrders = 0; /**< orders accepted so far; the engine refuses the order on a mismatch */
};

/** A run of a request at an engine. */
struct EngineRun {
    ReplicaId replica;
    std::string address;
    RequestId request;
};

enum class RunStopResult : uint8_t {
    Stopped,
    NotRunning, /**< the engine runs no such request */
    WrongReplica, /**< the address belongs to another replica; the run has ended with its own */
    Refused, /**< the run may go on */
};

enum class OrderResult : uint8_t {
    Accepted,
    AlreadyDone,
    Refused,
};

/** Sends requests to replicas, and passes on what their responses say about them. Errors: ConnectFailed when no byte was sent;
    Overloaded when the replica refused the request without running it, or wants none; BackendFailed and DeadlineExceeded when it may have run. */
class ReplicaClient : public Service {
public:
    static constexpr std::string_view serviceName = "replicaclient";
    std::string_view name() const final { return serviceName; }

    /** Sends a request and returns once the response header is received. */
    virtual asio::awaitable<Result<ReplicaResponse>> send(ReplicaCall) = 0;

    /** Runs the prefill for a request without executing the request. */
    virtual asio::awaitable<Result<PrefillResponse>> prefill(ReplicaCall) = 0;

    /** Releases KV cache that will not be fetched. */
    virtual asio::awaitable<Result<void>> release(CacheHandle) = 0;

    virtual asio::awaitable<Result<EngineReport>> report(ReplicaId, std::string address) = 0;
    virtual asio::awaitable<Result<OrderResult>> order(StageOrder) = 0;

    /** Asks an engine whether it still runs a request. An engine that does not list its runs may run it. An error means that it has
        not answered in time. */
    virtual asio::awaitable<Result<bool>> mayBeRunning(EngineRun, Duration timeout) = 0;
    /** Ends a run, whose stream is then closed without its end. `successor` is the address of the engine that continues it. */
    virtual asio::awaitable<Result<RunStopResult>> stopRun(EngineRun, std::string successor, Duration timeout) = 0;

    /** Registers the only receiver of notices. It is called for each response header that contains one, whatever the call
        and its outcome, and before the call returns. */
    void onNotice(std::function<void(const ReplicaNotice&)> receiver) { m_noticeReceiver = std::move(receiver); }

    /** Registers the check of whether a replica wants requests now. It is made after the connection is open; a call that is not
        sent because of it ends with Overloaded. */
    void setAdmission(std::function<bool(const ReplicaId&)> admission) { m_admission = std::move(admission); }

protected:
    bool admits(const ReplicaId& replica) const { return !m_admission || m_admission(replica); }

    void publishNotice(const ReplicaNotice& notice) const
    {
        if (m_noticeReceiver && notice.content != NoticeContent {})
            m_noticeReceiver(notice);
    }

private:
    std::function<void(const ReplicaNotice&)> m_noticeReceiver;
    std::function<bool(const ReplicaId&)> m_admission;
};

} // namespace chestnut
