#pragma once

#include "infrastructure/client/PlatformClient.h"
#include "infrastructure/keyvalue/KeyValueStore.h"

namespace chestnut {

/** A KeyValueStore over Consul's HTTP API. */
class ConsulKeyValueStore final : public KeyValueStore {
public:
    explicit ConsulKeyValueStore(std::shared_ptr<PlatformClient>);

    asio::awaitable<Result<KeyValueRead>> read(std::string key) override;
    asio::awaitable<Result<KeyValueRead>> wait(std::string key, uint64_t index, Duration maximumWait) override;
    asio::awaitable<Result<std::vector<KeyValueEntry>>> list(std::string prefix) override;
    asio::awaitable<Result<bool>> compareAndSwap(std::string key, std::string value, uint64_t expectedModifyIndex) override;
    asio::awaitable<Result<bool>> transact(std::vector<KeyValueOperation>) override;
    asio::awaitable<Result<void>> remove(std::string key) override;
    asio::awaitable<Result<bool>> removeIf(std::string key, uint64_t expectedModifyIndex) override;
    asio::awaitable<Result<void>> removePrefix(std::string prefix) override;
    asio::awaitable<Result<std::string>> createSession(Duration timeToLive) override;
    asio::awaitable<Result<void>> renewSession(std::string session) override;
    asio::awaitable<Result<void>> destroySession(std::string session) override;
    asio::awaitable<Result<bool>> acquire(std::string key, std::string value, std::string session) override;
    asio::awaitable<Result<bool>> release(std::string key, std::string value, std::string session) override;

private:
    asio::awaitable<Result<KeyValueRead>> readFrom(PlatformCall);
    asio::awaitable<Result<HttpResponse>> write(std::string kind, std::string method, std::string target, std::string body);
    asio::awaitable<Result<bool>> writeForResult(std::string kind, std::string target, std::string value);
    asio::awaitable<Result<void>> writeWithoutResult(std::string kind, std::string method, std::string target);

    std::shared_ptr<PlatformClient> m_client;
};

} // namespace chestnut
