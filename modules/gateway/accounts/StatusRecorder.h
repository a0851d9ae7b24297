#pragma once

#include "gateway/requests/RelayContext.h"
#include "http/server/HttpServer.h"

namespace chestnut {

/** Passes a response on and records its status. */
class StatusRecorder final : public HttpResponseWriter {
public:
    explicit StatusRecorder(HttpResponseWriter& writer)
        : m_writer(writer)
    {
    }

    /** Of the response that has begun; zero before that. */
    int status() const { return m_status; }

    /** The kind of error, if this daemon has refused the request; see sendErrorResponse(). */
    std::optional<ErrorKind> refusal() const { return m_refusal; }

    asio::awaitable<Result<void>> send(HttpResponse response) override
    {
        m_refusal = errorKindOf(response);
        m_status = response.status;
        return m_writer.send(std::move(response));
    }
    asio::awaitable<Result<void>> begin(int status, HttpHeaders headers) override
    {
        m_status = status;
        return m_writer.begin(status, std::move(headers));
    }
    asio::awaitable<Result<void>> write(std::string chunk) override { return m_writer.write(std::move(chunk)); }
    asio::awaitable<Result<void>> finish() override { return m_writer.finish(); }
    void abort() override { m_writer.abort(); }
    void onCallerDisconnect(std::function<void()> callback) override { m_writer.onCallerDisconnect(std::move(callback)); }
    bool isCallerDisconnected() const override { return m_writer.isCallerDisconnected(); }
    bool hasBegun() const override { return m_writer.hasBegun(); }

private:
    HttpResponseWriter& m_writer;
    int m_status = 0;
    std::optional<ErrorKind> m_refusal;
};

} // namespace chestnut
