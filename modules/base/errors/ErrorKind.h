#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace chestnut {

/** What a caller may conclude about the call that was refused or failed. */
enum class Outcome : uint8_t {
    NotRun, /**< No byte of the call can have reached a backend that might act on it. */
    Unknown, /**< The call may or may not have run. */
    Failed, /**< The call reached a backend and did not complete. */
};

/** The closed list of errors. Each kind has one row in the table of answers. */
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

/** How an error is shown to a caller or an operator. */
struct ErrorDescription {
    ErrorKind kind;
    std::string_view name; /**< snake_case; stable, part of the public interface */
    int status; /**< HTTP status code */
    Outcome outcome;
    bool sendsRetryAfter;
    std::string_view meaning;
};

const ErrorDescription& describe(ErrorKind);
std::span<const ErrorDescription> allErrorDescriptions();
std::optional<ErrorKind> errorKindFromName(std::string_view);
std::string_view nameOf(Outcome);

} // namespace chestnut
