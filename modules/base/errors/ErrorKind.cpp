#include "base/errors/ErrorKind.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace chestnut {

namespace {

    constexpr auto errorDescriptions = std::to_array<ErrorDescription>({
        { ErrorKind::BadRequest, "bad_request", 400, Outcome::NotRun, false, "The request line, a header or a field is invalid." },
        { ErrorKind::BadJson, "bad_json", 400, Outcome::NotRun, false, "The body is not valid JSON or lacks a required field." },
        { ErrorKind::BadKey, "bad_key", 400, Outcome::NotRun, false, "The idempotency key is missing or malformed." },
        { ErrorKind::UnknownModel, "unknown_model", 404, Outcome::NotRun, false, "No such model is configured." },
        { ErrorKind::UnknownService, "unknown_service", 404, Outcome::NotRun, false, "No such service is configured." },
        { ErrorKind::DeadlinePassed, "deadline_passed", 400, Outcome::NotRun, false, "The deadline had already passed when the request arrived." },
        { ErrorKind::BodyTooLarge, "body_too_large", 413, Outcome::NotRun, false, "The body exceeds the configured limit." },
        { ErrorKind::HeaderTooLarge, "header_too_large", 431, Outcome::NotRun, false, "The header exceeds the configured limit." },
        { ErrorKind::NotFound, "not_found", 404, Outcome::NotRun, false, "The path or object does not exist." },
        { ErrorKind::Unauthenticated, "unauthenticated", 401, Outcome::NotRun, false, "The request has no key, or one that belongs to no client account." },
        { ErrorKind::Overloaded, "overloaded", 503, Outcome::NotRun, true, "The queue is full." },
        { ErrorKind::DeadlineUnreachable, "deadline_unreachable", 503, Outcome::NotRun, true, "The deadline cannot be met at the present load." },
        { ErrorKind::AccountLimit, "account_limit", 429, Outcome::NotRun, true, "The client account exceeds its share." },
        { ErrorKind::NoBackend, "no_backend", 503, Outcome::NotRun, true, "No replica can take the request." },
        { ErrorKind::NotReady, "not_ready", 503, Outcome::NotRun, true, "This daemon has no configuration yet." },
        { ErrorKind::Leaving, "leaving", 503, Outcome::NotRun, true, "This daemon is shutting down." },
        { ErrorKind::ClaimUnavailable, "claim_unavailable", 503, Outcome::NotRun, true, "The claim for the idempotency key could not be written." },
        { ErrorKind::SuspectRequest, "suspect_request", 422, Outcome::NotRun, false, "Identical requests crashed backends; the request is quarantined." },
        { ErrorKind::KeyConflict, "key_conflict", 409, Outcome::NotRun, false, "The idempotency key was used with another body." },
        { ErrorKind::KeyExpired, "key_expired", 409, Outcome::Unknown, false, "The idempotency key is older than the retention time of claims." },
        { ErrorKind::AlreadyRun, "already_run", 409, Outcome::Unknown, false, "A call with this key was started before; its response is not available." },
        { ErrorKind::OutcomeUnknown, "outcome_unknown", 504, Outcome::Unknown, false, "The call may have been executed; it will not be executed again." },
        { ErrorKind::ConnectFailed, "connect_failed", 503, Outcome::NotRun, true, "No connection to the backend could be established." },
        { ErrorKind::BackendFailed, "backend_failed", 502, Outcome::Failed, false, "The backend failed while it executed the request." },
        { ErrorKind::StreamLost, "stream_lost", 502, Outcome::Failed, false, "The stream cannot be resumed." },
        { ErrorKind::DeadlineExceeded, "deadline_exceeded", 504, Outcome::Failed, false, "The deadline passed while the request was executed." },
        { ErrorKind::CallerGone, "caller_gone", 499, Outcome::Failed, false, "The caller closed the connection." },
        { ErrorKind::TicketInvalid, "ticket_invalid", 400, Outcome::NotRun, false, "The ticket is not valid against the state it would produce." },
        { ErrorKind::TicketConflict, "ticket_conflict", 409, Outcome::NotRun, false, "The ticket number was used with other content." },
        { ErrorKind::TicketOvertaken, "ticket_overtaken", 409, Outcome::NotRun, false, "A newer ticket has set the same object." },
        { ErrorKind::TicketUnknown, "ticket_unknown", 503, Outcome::Unknown, true, "The ticket may have been accepted; submit it again with the same number." },
        { ErrorKind::PlatformUnavailable, "platform_unavailable", 503, Outcome::NotRun, true, "The key-value service cannot be reached or refused the call." },
        { ErrorKind::PlatformAnswerLost, "platform_answer_lost", 503, Outcome::Unknown, true, "A write to the key-value service may have taken effect." },
        { ErrorKind::PlatformConflict, "platform_conflict", 409, Outcome::NotRun, true, "Another writer changed the value first." },
        { ErrorKind::StaleAuthority, "stale_authority", 409, Outcome::NotRun, false, "The order has an outdated fencing number." },
        { ErrorKind::ProtocolError, "protocol_error", 502, Outcome::Failed, false, "The peer sent a message that does not follow the protocol." },
        { ErrorKind::SettingsInvalid, "settings_invalid", 500, Outcome::NotRun, false, "A setting is unknown or out of range." },
        { ErrorKind::Internal, "internal", 500, Outcome::Failed, false, "An unexpected condition in the daemon." },
    });

    constexpr bool tableMatchesEnum()
    {
        for (size_t i = 0; i < errorDescriptions.size(); ++i) {
            if (static_cast<size_t>(errorDescriptions[i].kind) != i)
                return false;
        }
        return errorDescriptions.size() == static_cast<size_t>(ErrorKind::Internal) + 1;
    }
    static_assert(tableMatchesEnum(), "each error kind needs one row, in the order of the enumeration");

} // namespace

const ErrorDescription& describe(ErrorKind kind)
{
    auto index = static_cast<size_t>(kind);
    assert(index < errorDescriptions.size());
    return errorDescriptions[index];
}

std::span<const ErrorDescription> allErrorDescriptions()
{
    return errorDescriptions;
}

std::optional<ErrorKind> errorKindFromName(std::string_view name)
{
    auto row = std::ranges::find(errorDescriptions, name, &ErrorDescription::name);
    if (row == errorDescriptions.end())
        return std::nullopt;
    return row->kind;
}

std::string_view nameOf(Outcome outcome)
{
    switch (outcome) {
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Unknown:
        return "unknown";
    case Outcome::Failed:
        return "failed";
    }
    return "unknown";
}

} // namespace chestnut
