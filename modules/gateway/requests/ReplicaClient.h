#pragma once

#include "decisions/replicas/ReplicaRegistry.h"
#include "gateway/requests/RoutedRequest.h"
#include "http/client/AbortHandle.h"
#include "http/client/HttpBodyStream.h"

#include <memory>

namespace chestnut {

/** One send of a request to one replica. */
struct ReplicaCall {
    const RoutedRequest& request;
    ReplicaId replica; /**< another process at the same address refuses the request */
    std::string address; /**< IP:PORT */
    Duration timeLeft {}; /**< after which the replica stops work */
    std::optional<uint32_t> urgency; /**< 0 is first, 9 is last; absent: the middle */
    std::optional<CacheHandle> handle; /**< the prompt has been read there */
    std::optional<std::string> resumeAfter; /**< id of the last event that the client has */
    std::shared_ptr<AbortHandle> abort;
};

/** What the replica says of the request by its response header. */
enum class ExecutionStatus : uint8_t {
    Executed, /**< it ran; the response is the answer */
    NotExecuted, /**< refused, and will never run */
    OtherInstance, /**< another replica has the address, or the replica cannot do this stage */
    Unsealed, /**< a response that no replica vouches for */
};

struct ReplicaResponse {
    ExecutionStatus verdict = ExecutionStatus::Executed;
    HttpHeaders headers; /**< those that go on to the client */
    std::unique_ptr<HttpBodyStream> body;
};

struct PrefillAnswer {
    CacheHandle handle;
    uint32_t tokens = 0;
};

/** The state of an engine as it reports it, some hundred milliseconds old. */
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
    std::string holder; /**< the daemon that gives the order */
    FencingNumber fencingNumber = 0;
    uint64_t expectedOrders = 0; /**< orders accepted before; the order is refused when there were others */
};

enum class OrderVerdict : uint8_t {
    Accepted,
    AlreadyDone,
    Refused,
};

/** Speaks to replicas. Errors: ConnectFailed when no byte was sent; Overloaded when the replica refused and says that it has
    not run the request; BackendFailed and DeadlineExceeded when it may have run. */
class ReplicaClient : public Service {
public:
    static constexpr std::string_view serviceName = "instanceclient";
    std::string_view name() const final { return serviceName; }

    /** Sends a request and returns after the response header. */
    virtual asio::awaitable<Result<ReplicaResponse>> send(ReplicaCall) = 0;

    /** Has the prompt of a request read. The request does not run. */
    virtual asio::awaitable<Result<PrefillAnswer>> prefill(ReplicaCall) = 0;

    /** Frees KV cache that nobody will take. */
    virtual asio::awaitable<Result<void>> release(CacheHandle) = 0;

    virtual asio::awaitable<Result<EngineReport>> report(ReplicaId, std::string address) = 0;
    virtual asio::awaitable<Result<OrderVerdict>> order(StageOrder) = 0;
};

} // namespace chestnut
