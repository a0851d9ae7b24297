#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace chestnut {

/** Whether a call that was refused or failed may have been executed. */
enum class Outcome : uint8_t {
    NotRun, /**< No byte of the call can have reached a backend that might execute it. */
    Unknown, /**< The call may or may not have been executed. */
    Failed, /**< The call reached a backend and did not complete. */
};

/** The closed list of errors. Each kind has one ErrorDescription. */
enum class ErrorKind : uint8_t {
    BadRequest,
    BadJson,
    BadKey,
    UnknownModel,
    UnknownService,
    DeadlinePassed,
    BodyTooLarge,
    HeaderTooLarge,
    NotFound,
    Unauthenticated,
    Overloaded,
    DeadlineUnreachable,
    AccountLimit,
    NoBackend,
    NotReady,
    Leaving,
    ClaimUnavailable,
    SuspectRequest,
    KeyConflict,
    KeyExpired,
    AlreadyRun,
    OutcomeUnknown,
    ConnectFailed,
    BackendFailed,
    StreamLost,
    DeadlineExceeded,
    CallerGone,
    TicketInvalid,
    TicketConflict,
    TicketOvertaken,
    TicketUnknown,
    PlatformUnavailable,
    PlatformAnswerLost,
    PlatformConflict,
    StaleAuthority,
    ProtocolError,
    SettingsInvalid,
    Internal,
};

/** How an error kind is reported to callers and operators. */
struct ErrorDescription {
    ErrorKind kind;
    std::string_view name; /**< snake_case; part of the public interface, so it must not change */
    int status; /**< HTTP status code */
    Outcome outcome;
    bool sendsRetryAfter; /**< the response carries a Retry-After header */
    std::string_view meaning;
};

const ErrorDescription& describe(ErrorKind);
std::span<const ErrorDescription> allErrorDescriptions();
std::optional<ErrorKind> errorKindFromName(std::string_view);
std::string_view nameOf(Outcome);

} // namespace chestnut
