#include "frontend/requests/RequestOutcome.h"

namespace chestnut {

namespace {

    std::string_view nameOfClass(PriorityClass priorityClass)
    {
        return priorityClass == PriorityClass::Live ? "live" : "batch";
    }

} // namespace

asio::awaitable<void> refuse(const FrontendState& state, const CallerRequest& caller, Error error, HttpResponseWriter& writer)
{
    logRefused(state, caller, error);
    auto response = errorResponse(error, caller.id);
    co_await writer.send(std::move(response));
}

void logRefused(const FrontendState& state, const CallerRequest& caller, const Error& error)
{
    const auto& description = describe(error.kind);
    state.services.metrics.count("chestnut_requests_refused_total", { { "kind", std::string(description.name) } });
    state.services.log.write(EventId::RequestRefused, {
                                                          { "request", caller.id },
                                                          { "kind", description.name },
                                                          { "outcome", nameOf(description.outcome) },
                                                          { "reason", error.detail },
                                                          { "class", nameOfClass(caller.priorityClass) },
                                                          { "account", caller.account },
                                                      });
}

void logCompleted(const FrontendState& state, const CallerRequest& caller, const CompletedRequest& completed)
{
    state.services.metrics.count("chestnut_requests_completed_total", { { "class", std::string(nameOfClass(caller.priorityClass)) } });
    LogFields fields {
        { "request", caller.id },
        { "replica", completed.replica },
        { "attempts", completed.attempts },
        { "tokens", completed.tokens },
        { "total_ms", (state.now() - caller.arrival).count() / 1000 },
        { "class", nameOfClass(caller.priorityClass) },
        { "account", caller.account },
    };
    if (completed.firstToken)
        fields.emplace_back("first_token_ms", completed.firstToken->count() / 1000);
    state.services.log.write(EventId::RequestCompleted, std::move(fields));
}

} // namespace chestnut
