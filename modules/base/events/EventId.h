#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace chestnut {

enum class Severity : uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

/** Numbered log events. Each module has its own range of 100 numbers, so that new events renumber no others. */
enum class EventId : uint16_t {
    // kernel and programs: 1000 to 1099
    DaemonStarted = 1000,
    DaemonReady = 1001,
    DaemonLeaving = 1002,
    DaemonStopped = 1003,
    SettingsRefused = 1004,
    LogLinesDropped = 1005,
    TaskFailed = 1006,
    CallbackFailed = 1007,

    // http: 1100 to 1199
    ListenerStarted = 1100,
    ConnectionRefused = 1101,
    HandlerFailed = 1102,
    AcceptFailed = 1103,

    // platform: 1200 to 1299
    PlatformLost = 1200,
    PlatformRestored = 1201,
    PlatformBudgetExhausted = 1202,

    // backends: 1300 to 1399

    // peers: 1400 to 1499
    PeerMessageRefused = 1400,
    MemberChanged = 1401,
    IncarnationRenewed = 1402,
    IdentityConflict = 1403,
    PeerHandlerFailed = 1404,
    PeerCloseStalled = 1405,

    // claims: 1500 to 1599
    ClaimDecided = 1500,
    ClaimWriteInDoubt = 1501,
    ClaimRecordUnreadable = 1502,
    ClaimEpochClosed = 1503,

    // control: 1600 to 1699
    TicketAccepted = 1600,
    TicketRejected = 1601,
    TicketUnsettled = 1602,
    ConfigurationApplied = 1610,
    ConfigurationIgnored = 1611,
    ConfigurationUnreadable = 1612,
    LeaseAcquired = 1620,
    LeaseLost = 1621,
    LeaseReleased = 1622,
    OrderSent = 1630,
    OrderSettled = 1631,
    OrderFailed = 1632,
    OrderWaiting = 1633,
    OrderSuperseded = 1634,
    RoleChangeDecided = 1640,
    DrainStarted = 1650,
    DrainFinished = 1651,
    ReplicaReturned = 1652,
    VmLeaving = 1653,
    RecordsRemoved = 1660,

    // frontend: 2000 to 2099
    RequestRouted = 2000,
    RequestRefused = 2001,
    RequestCompleted = 2002,
    RequestPreempted = 2003,
    AttemptFailed = 2004,
    ReplicaHealthChanged = 2005,
    ReplicaUnresponsive = 2006,
    ReplicaResponsive = 2007,
    RequestSuspected = 2008,
    RequestHedged = 2009,
    StreamResumed = 2010,
    FrontendStopping = 2011,
    FrontendStopped = 2012,
    AnswerCrossed = 2013,
    LossRefuted = 2014,
    StreamHandedOver = 2015,

    // operations: 2100 to 2199
    OperatorCallAnswered = 2100,

    // gateway: 2200 to 2299
    StoreHistoryLost = 2200,
    StoreEntryUnreadable = 2201,
    StoreRestored = 2202,
    StoreEpochUnreadable = 2203,
    StoreChangeIgnored = 2204,
    StoreResponseLost = 2205,
    DaemonRegistered = 2210,
    RegistrationFailed = 2211,
    LeaseNotAcquired = 2212,
    ReplicaChanged = 2220,
    ReplicaAnnouncedLeaving = 2221,
    ReplicaNoticeUnreadable = 2222,
    ReplicaBackoffStarted = 2223,
    ReplicaRateLimited = 2224,
    ReplicaRateLimitEnded = 2225,
    ResponseDiscarded = 2226,
    RequestIdRepeated = 2227,
    PrefillPlaced = 2230,
    PrefillFailed = 2231,
    RetryBudgetExhausted = 2232,
    HandleReleaseFailed = 2233,
    AttemptSilent = 2234,
    PartSuspected = 2235,
    PartBlocked = 2236,
    PartReleased = 2237,
    BlockStored = 2238,
    BlockNotStored = 2239,
    SettingsReloaded = 2240,
    BlockApplied = 2241,
    UsageReportSent = 2250,
    UsageReportRepeated = 2251,
    UsageReportLate = 2252,
    UsageReportSkipped = 2253,
    UsageReportRefused = 2254,
    UsageNotFixed = 2255,
    AccountsInvalid = 2260,
    ConfigurationFetched = 2261,
    ConfigurationFetchFailed = 2262,
    ReplicasOrdered = 2270,
    ReplicaOrderFailed = 2271,
    ReplicasMissing = 2272,
    StreamLeftReplica = 2273,
    RunStopAnswered = 2274,
    DefaultVersionChanged = 2275,
    DefaultVersionNotStored = 2276,
    StreamRecordNotStored = 2277,
    ResumedStreamVersion = 2278,
    StreamBegunWithoutRecord = 2279,
    ReplicaErrorResponse = 2280,
    ReplicaCapacityChanged = 2281,
    SlotAwaited = 2290,
};

struct EventDescription {
    EventId id;
    std::string_view name; /**< snake_case */
    Severity severity;
    std::string_view meaning;
};

const EventDescription& describe(EventId);
std::span<const EventDescription> allEvents();
std::string_view nameOf(Severity);

} // namespace chestnut
