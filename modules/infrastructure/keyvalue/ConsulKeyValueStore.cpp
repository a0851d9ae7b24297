#include "infrastructure/keyvalue/ConsulKeyValueStore.h"

#include "base/text/PercentEncoding.h"

#include <absl/strings/escaping.h>
#include <cassert>
#include <charconv>
#include <nlohmann/json.hpp>

namespace chestnut {

using nlohmann::json;

namespace {

    constexpr int statusOk = 200;
    constexpr int statusNotFound = 404;
    constexpr int statusConflict = 409;
    constexpr size_t maximumOperations = 64;

    std::string kvTarget(const std::string& key, const std::string& query)
    {
        return "/v1/kv/" + percentEncodePath(key) + (query.empty() ? "" : "?" + query);
    }

    uint64_t indexOf(const HttpResponse& response)
    {
        auto text = response.headers.value("X-Consul-Index");
        uint64_t index = 0;
        std::from_chars(text.data(), text.data() + text.size(), index);
        return index;
    }

    Error unexpectedStatus(const HttpResponse& response)
    {
        return makeError(ErrorKind::PlatformUnavailable, "status " + std::to_string(response.status) + ": " + response.body);
    }

    /** The value of a row; null means empty. Returns nothing when it is not Base64, so that a malformed value is not mistaken
        for an empty one. */
    std::optional<std::string> valueOf(const json& row)
    {
        auto value = row.find("Value");
        if (value == row.end() || value->is_null())
            return "";
        std::string bytes;
        if (!value->is_string() || !absl::Base64Unescape(value->get_ref<const std::string&>(), &bytes))
            return std::nullopt;
        return bytes;
    }

    std::optional<KeyValueEntry> parseEntry(const json& row)
    {
        KeyValueEntry entry;
        entry.key = row.at("Key").get<std::string>();
        auto value = valueOf(row);
        if (!value)
            return std::nullopt;
        entry.value = std::move(*value);
        entry.modifyIndex = row.at("ModifyIndex").get<uint64_t>();
        entry.lockIndex = row.value("LockIndex", uint64_t(0));
        entry.session = row.value("Session", std::string());
        return entry;
    }

    Result<std::vector<KeyValueEntry>> parseEntries(const HttpResponse& response)
    {
        std::vector<KeyValueEntry> entries;
        if (response.status == statusNotFound)
            return entries;
        if (response.status != statusOk)
            return unexpectedStatus(response);
        try {
            auto rows = json::parse(response.body);
            for (const auto& row : rows) {
                auto entry = parseEntry(row);
                if (!entry)
                    return makeError(ErrorKind::PlatformUnavailable, "malformed response: a value is not Base64");
                entries.push_back(std::move(*entry));
            }
        } catch (const json::exception& exception) {
            return makeError(ErrorKind::PlatformUnavailable, std::string("malformed response: ") + exception.what());
        }
        return entries;
    }

    json operationToJson(const KeyValueOperation& operation)
    {
        json kv { { "Key", operation.key } };
        if (operation.isCheckOnly && operation.expectedModifyIndex == 0)
            kv["Verb"] = "check-not-exists";
        else {
            kv["Verb"] = operation.isCheckOnly ? "check-index" : "cas";
            kv["Index"] = operation.expectedModifyIndex;
        }
        if (!operation.isCheckOnly)
            kv["Value"] = absl::Base64Escape(operation.value);
        return { { "KV", kv } };
    }

    /** Formats a duration as Consul expects it: a number with a unit, as in Go. */
    std::string consulDuration(Duration duration)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + "ms";
    }

} // namespace

ConsulKeyValueStore::ConsulKeyValueStore(std::shared_ptr<PlatformClient> client)
    : m_client(std::move(client))
{
}

asio::awaitable<Result<KeyValueRead>> ConsulKeyValueStore::readFrom(PlatformCall call)
{
    auto response = co_await m_client->call(std::move(call));
    if (!response)
        co_return response.error();
    auto entries = parseEntries(*response);
    if (!entries)
        co_return entries.error();
    KeyValueRead read;
    read.index = indexOf(*response);
    if (!entries->empty())
        read.entry = std::move(entries->front());
    co_return read;
}

asio::awaitable<Result<KeyValueRead>> ConsulKeyValueStore::read(std::string key)
{
    PlatformCall call { "kv_read", { "GET", kvTarget(key, "consistent"), {}, "" }, false, {} };
    co_return co_await readFrom(std::move(call));
}

asio::awaitable<Result<KeyValueRead>> ConsulKeyValueStore::wait(std::string key, uint64_t index, Duration maximumWait)
{
    auto query = "index=" + std::to_string(index) + "&wait=" + consulDuration(maximumWait);
    // Consul adds up to 1/16 of the wait as jitter.
    PlatformCall call { "kv_wait", { "GET", kvTarget(key, query), {}, "" }, false, maximumWait + maximumWait / 16 };
    co_return co_await readFrom(std::move(call));
}

asio::awaitable<Result<std::vector<KeyValueEntry>>> ConsulKeyValueStore::list(std::string prefix)
{
    PlatformCall call { "kv_list", { "GET", kvTarget(prefix, "recurse&consistent"), {}, "" }, false, {} };
    auto response = co_await m_client->call(std::move(call));
    if (!response)
        co_return response.error();
    co_return parseEntries(*response);
}

asio::awaitable<Result<HttpResponse>> ConsulKeyValueStore::write(std::string kind, std::string method, std::string target, std::string body)
{
    PlatformCall call { std::move(kind), { std::move(method), std::move(target), {}, std::move(body) }, true, {} };
    co_return co_await m_client->call(std::move(call));
}

namespace {

    Result<bool> parseBoolean(const Result<HttpResponse>& response)
    {
        if (!response)
            return response.error();
        if (response->status != statusOk)
            return unexpectedStatus(*response);
        return response->body.starts_with("true");
    }

} // namespace

asio::awaitable<Result<bool>> ConsulKeyValueStore::writeForResult(std::string kind, std::string target, std::string value)
{
    assert(value.size() <= maximumValue);
    co_return parseBoolean(co_await write(std::move(kind), "PUT", std::move(target), std::move(value)));
}

asio::awaitable<Result<void>> ConsulKeyValueStore::writeWithoutResult(std::string kind, std::string method, std::string target)
{
    auto response = co_await write(std::move(kind), std::move(method), std::move(target), "");
    if (!response)
        co_return response.error();
    if (response->status == statusNotFound)
        co_return makeError(ErrorKind::NotFound, "no such session");
    if (response->status != statusOk)
        co_return unexpectedStatus(*response);
    co_return Result<void>();
}

asio::awaitable<Result<bool>> ConsulKeyValueStore::compareAndSwap(std::string key, std::string value, uint64_t expectedModifyIndex)
{
    auto target = kvTarget(key, "cas=" + std::to_string(expectedModifyIndex));
    co_return co_await writeForResult("kv_cas", std::move(target), std::move(value));
}

asio::awaitable<Result<bool>> ConsulKeyValueStore::transact(std::vector<KeyValueOperation> operations)
{
    assert(operations.size() <= maximumOperations);
    auto body = json::array();
    for (const auto& operation : operations)
        body.push_back(operationToJson(operation));
    auto response = co_await write("txn", "PUT", "/v1/txn", body.dump());
    if (!response)
        co_return response.error();
    if (response->status == statusConflict)
        co_return false;
    if (response->status != statusOk)
        co_return unexpectedStatus(*response);
    co_return true;
}

asio::awaitable<Result<void>> ConsulKeyValueStore::remove(std::string key)
{
    co_return co_await writeWithoutResult("kv_delete", "DELETE", kvTarget(key, ""));
}

asio::awaitable<Result<bool>> ConsulKeyValueStore::removeIf(std::string key, uint64_t expectedModifyIndex)
{
    auto target = kvTarget(key, "cas=" + std::to_string(expectedModifyIndex));
    co_return parseBoolean(co_await write("kv_delete", "DELETE", std::move(target), ""));
}

asio::awaitable<Result<void>> ConsulKeyValueStore::removePrefix(std::string prefix)
{
    co_return co_await writeWithoutResult("kv_delete", "DELETE", kvTarget(prefix, "recurse"));
}

asio::awaitable<Result<std::string>> ConsulKeyValueStore::createSession(Duration timeToLive)
{
    json body { { "TTL", consulDuration(timeToLive) }, { "Behavior", "release" }, { "LockDelay", "0s" } };
    auto response = co_await write("session_create", "PUT", "/v1/session/create", body.dump());
    if (!response)
        co_return response.error();
    if (response->status != statusOk)
        co_return unexpectedStatus(*response);
    auto document = json::parse(response->body, nullptr, false);
    if (!document.is_object() || !document.contains("ID") || !document["ID"].is_string())
        co_return makeError(ErrorKind::PlatformAnswerLost, "malformed response to a session creation");
    co_return document["ID"].get<std::string>();
}

asio::awaitable<Result<void>> ConsulKeyValueStore::renewSession(std::string session)
{
    co_return co_await writeWithoutResult("session_renew", "PUT", "/v1/session/renew/" + percentEncodePath(session));
}

asio::awaitable<Result<void>> ConsulKeyValueStore::destroySession(std::string session)
{
    co_return co_await writeWithoutResult("session_destroy", "PUT", "/v1/session/destroy/" + percentEncodePath(session));
}

asio::awaitable<Result<bool>> ConsulKeyValueStore::acquire(std::string key, std::string value, std::string session)
{
    auto target = kvTarget(key, "acquire=" + session);
    co_return co_await writeForResult("kv_acquire", std::move(target), std::move(value));
}

asio::awaitable<Result<bool>> ConsulKeyValueStore::release(std::string key, std::string value, std::string session)
{
    auto target = kvTarget(key, "release=" + session);
    co_return co_await writeForResult("kv_release", std::move(target), std::move(value));
}

} // namespace chestnut
