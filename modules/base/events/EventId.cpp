#include "base/events/EventId.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace chestnut {

namespace {

    constexpr auto events = std::to_array<EventDescription>({
        // kernel and programs
        { EventId::DaemonStarted, "daemon_started", Severity::Info, "The process has read its settings and is opening its listeners." },
        { EventId::DaemonReady, "daemon_ready", Severity::Info, "The daemon has a configuration and accepts requests." },
        { EventId::DaemonLeaving, "daemon_leaving", Severity::Info, "A termination signal was received; the daemon completes its work in progress." },
        { EventId::DaemonStopped, "daemon_stopped", Severity::Info, "The process exits; in_progress counts the requests that were ended before their responses." },
        { EventId::SettingsRefused, "settings_refused", Severity::Error, "A setting is unknown, missing or out of range." },
        { EventId::LogLinesDropped, "log_lines_dropped", Severity::Warning, "Earlier log lines were dropped because the output was blocked; the field gives their number." },
        { EventId::TaskFailed, "task_failed", Severity::Error, "A background task ended with an exception; a permanent one is started again after a second." },
        { EventId::CallbackFailed, "callback_failed", Severity::Error, "A callback of the event loop ended with an exception, and with it the work that it belongs to; all other work goes on." },

        // http
        { EventId::ListenerStarted, "listener_started", Severity::Info, "A listener accepts connections." },
        { EventId::ConnectionRefused, "connection_refused", Severity::Warning, "The connection limit of a listener is reached." },
        { EventId::HandlerFailed, "handler_failed", Severity::Error, "A request handler ended with an exception." },
        { EventId::AcceptFailed, "accept_failed", Severity::Error, "A connection could not be accepted, for example because file descriptors are exhausted; tried again every 100 ms, logged once." },

        // platform
        { EventId::PlatformLost, "platform_lost", Severity::Warning, "Calls to the key-value service fail." },
        { EventId::PlatformRestored, "platform_restored", Severity::Info, "Calls to the key-value service succeed again." },
        { EventId::PlatformBudgetExhausted, "platform_budget_exhausted", Severity::Warning, "The rate limit of calls to the key-value service is reached; calls are delayed or fail." },

        // backends

        // peers
        { EventId::PeerMessageRefused, "peer_message_refused", Severity::Warning, "A message from a peer was rejected; logged at most once a minute for each sender." },
        { EventId::MemberChanged, "member_changed", Severity::Info, "A member's state, incarnation or revision changed." },
        { EventId::IncarnationRenewed, "incarnation_renewed", Severity::Warning, "Peers had removed this daemon or had a newer record of it; it continues with a new incarnation." },
        { EventId::IdentityConflict, "identity_conflict", Severity::Error, "Another process uses this daemon's id." },
        { EventId::PeerHandlerFailed, "peer_handler_failed", Severity::Error, "A message handler ended with an exception." },
        { EventId::PeerCloseStalled, "peer_close_stalled", Severity::Error, "Sockets to peers cannot be closed and keep their file descriptors; idle ones stay open. Restart the daemon." },

        // claims
        { EventId::ClaimDecided, "claim_decided", Severity::Info, "The claim of a call that is not idempotent was granted, answered with a recorded response, or refused." },
        { EventId::ClaimWriteInDoubt, "claim_write_in_doubt", Severity::Warning, "The response to the write of a claim record was lost; the record is read back." },
        { EventId::ClaimRecordUnreadable, "claim_record_unreadable", Severity::Error, "A claim record cannot be decoded; the shard grants no claims." },
        { EventId::ClaimEpochClosed, "claim_epoch_closed", Severity::Info, "A shard of an old epoch was closed and its records were removed." },

        // control
        { EventId::TicketAccepted, "ticket_accepted", Severity::Info, "The key-value service holds a ticket and the state that it produced." },
        { EventId::TicketRejected, "ticket_rejected", Severity::Info, "A ticket was rejected; the fields give the kind and the reason." },
        { EventId::TicketUnsettled, "ticket_unsettled", Severity::Warning, "The response to the write of a ticket was lost, and its result could not be read back in time." },
        { EventId::ConfigurationApplied, "configuration_applied", Severity::Info, "This daemon has applied a newer configuration." },
        { EventId::ConfigurationIgnored, "configuration_ignored", Severity::Info, "A configuration was ignored because its revision is lower than that of the applied one." },
        { EventId::ConfigurationUnreadable, "configuration_unreadable", Severity::Error, "A configuration document could not be decoded." },
        { EventId::LeaseAcquired, "lease_acquired", Severity::Info, "This daemon holds the lease over engines or singleton tasks that the key names." },
        { EventId::LeaseLost, "lease_lost", Severity::Warning, "The lease over engines or singleton tasks expired, could not be renewed in time or was taken by another process." },
        { EventId::LeaseReleased, "lease_released", Severity::Info, "This daemon released the lease over engines or singleton tasks for its successor." },
        { EventId::OrderSent, "order_sent", Severity::Info, "An order was sent to an engine; the fields give intent, observed state and lease." },
        { EventId::OrderSettled, "order_settled", Severity::Info, "An engine was observed to run its desired state." },
        { EventId::OrderFailed, "order_failed", Severity::Warning, "An order was refused, or its response was lost." },
        { EventId::OrderWaiting, "order_waiting", Severity::Info, "An engine does not run its desired state yet; the reason has changed." },
        { EventId::OrderSuperseded, "order_superseded", Severity::Warning, "Another lease holder has written the intent of an engine; this daemon sends it no further orders." },
        { EventId::RoleChangeDecided, "role_change_decided", Severity::Info, "An engine is to change its role; the fields give the demand and the expected gain." },
        { EventId::DrainStarted, "drain_started", Severity::Info, "A replica accepts no new work." },
        { EventId::DrainFinished, "drain_finished", Severity::Info, "A replica has no running work, or its drain timeout has passed." },
        { EventId::ReplicaReturned, "replica_returned", Severity::Info, "A replica accepts new work again, with a growing share of its load." },
        { EventId::VmLeaving, "vm_leaving", Severity::Info, "The VM list names a VM as leaving; its replicas accept no new work." },
        { EventId::RecordsRemoved, "records_removed", Severity::Info, "Records of old tickets or of removed engines were removed from the key-value service." },

        // frontend
        { EventId::RequestRouted, "request_routed", Severity::Info, "A replica was chosen for a request." },
        { EventId::RequestRefused, "request_refused", Severity::Info, "A request was refused; the fields give kind and reason." },
        { EventId::RequestCompleted, "request_completed", Severity::Info, "The complete response was sent to the caller." },
        { EventId::RequestPreempted, "request_preempted", Severity::Info, "A batch request was preempted to free its slot for a live request; it is resumed later." },
        { EventId::AttemptFailed, "attempt_failed", Severity::Warning, "An attempt at a replica failed; the fields give the next step." },
        { EventId::ReplicaHealthChanged, "replica_health_changed", Severity::Warning, "A replica was ejected, put on probation or readmitted." },
        { EventId::ReplicaUnresponsive, "replica_unresponsive", Severity::Warning, "A replica does not respond and receives no new work." },
        { EventId::ReplicaResponsive, "replica_responsive", Severity::Info, "A replica responds again." },
        { EventId::RequestSuspected, "request_suspected", Severity::Warning, "A replica was lost; the loss is counted against the requests that ran there." },
        { EventId::RequestHedged, "request_hedged", Severity::Info, "A second attempt was started because the first one is late." },
        { EventId::StreamResumed, "stream_resumed", Severity::Info, "A caller resumed a stream." },
        { EventId::FrontendStopping, "frontend_stopping", Severity::Info, "The callers' listener accepts no new requests and completes those in progress." },
        { EventId::FrontendStopped, "frontend_stopped", Severity::Info, "No caller request is in progress." },
        { EventId::AnswerCrossed, "answer_crossed", Severity::Warning, "An engine sent the response to another request; the daemon connects to the stream again." },
        { EventId::LossRefuted, "loss_refuted", Severity::Info, "A connection to a replica was lost, but the replica responds; no loss is counted." },
        { EventId::StreamHandedOver, "stream_handed_over", Severity::Info, "Another daemon took over a stream that this daemon had accepted." },

        // operations
        { EventId::OperatorCallAnswered, "operator_call_answered", Severity::Debug, "A response to an operator's call was sent." },

        // gateway
        { EventId::StoreHistoryLost, "store_history_lost", Severity::Warning, "The store no longer has the changes after a revision; the prefix is listed again." },
        { EventId::StoreEntryUnreadable, "store_entry_unreadable", Severity::Warning, "The value of a key in the store could not be read; the key is ignored." },
        { EventId::StoreRestored, "store_restored", Severity::Warning, "The store was restored from a copy: revisions go back, and what was written after the copy is lost." },
        { EventId::StoreEpochUnreadable, "store_epoch_unreadable", Severity::Warning, "The header field that shows restores of the store could not be read; it counts as absent." },
        { EventId::StoreChangeIgnored, "store_change_ignored", Severity::Info, "A change that a watch returned was ignored because its revision is not above the last one applied for the key." },
        { EventId::StoreResponseLost, "store_response_lost", Severity::Warning, "A call to the store got no response; it is repeated on a new connection before that counts as an outage." },
        { EventId::DaemonRegistered, "daemon_registered", Severity::Info, "This daemon is registered in the store's list of daemons." },
        { EventId::RegistrationFailed, "registration_failed", Severity::Warning, "The registration of this daemon could not be written, renewed or withdrawn." },
        { EventId::LeaseNotAcquired, "lease_not_acquired", Severity::Info, "The lease over engines or singleton tasks could not be acquired; usually another daemon holds it." },
        { EventId::ReplicaChanged, "replica_changed", Severity::Info, "The recorded state of a replica changed; the fields give its status, stage and the cause." },
        { EventId::ReplicaAnnouncedLeaving, "replica_announced_leaving", Severity::Info, "A response of a replica says that its process is about to end; it gets no further work, whatever the store says." },
        { EventId::ReplicaNoticeUnreadable, "replica_notice_unreadable", Severity::Warning, "A header field in which a replica describes its state could not be read; it counts as absent." },
        { EventId::ReplicaBackoffStarted, "replica_backoff_started", Severity::Info, "A replica refused a request and wants no further one from this daemon for the time given." },
        { EventId::ReplicaRateLimited, "replica_rate_limited", Severity::Info, "A replica names the rate of requests that it takes from all daemons together; the daemons share it by their demand." },
        { EventId::ReplicaRateLimitEnded, "replica_rate_limit_ended", Severity::Info, "A replica no longer names a rate limit, or its limit has not been confirmed for long." },
        { EventId::ResponseDiscarded, "response_discarded", Severity::Info, "A response on a connection to a replica does not belong to the request in progress, such as a copy of an earlier one." },
        { EventId::RequestIdRepeated, "request_id_repeated", Severity::Info, "An idle connection to a replica was not used because it has carried the id of the request; a copy of the earlier response could not be told from the later one." },
        { EventId::PrefillPlaced, "prefill_placed", Severity::Info, "An engine was chosen to prefill a prompt." },
        { EventId::PrefillFailed, "prefill_failed", Severity::Warning, "An engine did not prefill a prompt; the request was not executed there." },
        { EventId::RetryBudgetExhausted, "retry_budget_exhausted", Severity::Info, "A retry was not sent because the retry budget of the service is used up." },
        { EventId::HandleReleaseFailed, "handle_release_failed", Severity::Info, "KV cache that no request will use could not be freed; it expires by itself." },
        { EventId::AttemptSilent, "attempt_silent", Severity::Warning, "A replica has sent nothing for longer than such attempts usually need; the fields give the time and what the daemon does." },
        { EventId::PartSuspected, "part_suspected", Severity::Warning, "Engines crashed while requests with one prompt part waited there for their first event; the fields give the part, crashes and replicas." },
        { EventId::PartBlocked, "part_blocked", Severity::Error, "A prompt part explains the crashes of several engines; requests with it are refused by all daemons." },
        { EventId::PartReleased, "part_released", Severity::Info, "A prompt part is no longer suspected or blocked, because a request with it has begun or another part explains the crashes." },
        { EventId::BlockStored, "block_stored", Severity::Info, "The block of a request content or prompt part that crashes replicas, or its release, was written to the store." },
        { EventId::BlockNotStored, "block_not_stored", Severity::Warning, "A block was not written to the store; it is tried again unless another daemon has written it." },
        { EventId::SettingsReloaded, "settings_reloaded", Severity::Info, "SIGHUP was received; the limits and the log level of the settings file are applied." },
        { EventId::BlockApplied, "block_applied", Severity::Info, "A block, or its release, was read from the store; it applies on this daemon from now on." },
        { EventId::UsageReportSent, "usage_report_sent", Severity::Info, "The platform acknowledged the usage report of a window." },
        { EventId::UsageReportRepeated, "usage_report_repeated", Severity::Info, "A call with the usage report of a window failed; it is repeated until the report is late." },
        { EventId::UsageReportLate, "usage_report_late", Severity::Warning, "The usage report of a window was not acknowledged before it was late, and is no longer sent." },
        { EventId::UsageReportSkipped, "usage_report_skipped", Severity::Warning, "Windows were late before their counts were fixed in the store, so they are not reported." },
        { EventId::UsageReportRefused, "usage_report_refused", Severity::Error, "The platform rejected the usage report of a window, which is not sent again." },
        { EventId::UsageNotFixed, "usage_not_fixed", Severity::Info, "The counts of a window could not be fixed in the store; its report waits until they are." },
        { EventId::AccountsInvalid, "accounts_invalid", Severity::Warning, "Some accounts or keys of a configuration are ambiguous or unusable; they authenticate no request. The fields give their number by fault and some names." },
        { EventId::ConfigurationFetched, "configuration_fetched", Severity::Info, "A configuration was fetched from another daemon, because the store had not delivered it." },
        { EventId::ConfigurationFetchFailed, "configuration_fetch_failed", Severity::Warning, "Another daemon did not send a usable configuration of the version that it announced; the next attempt asks another daemon." },
        { EventId::ReplicasOrdered, "replicas_ordered", Severity::Info, "The number of replicas of one kind in one zone is ordered; the fields give the present demand in replicas, the replicas needed for its recent peak, and the reason." },
        { EventId::ReplicaOrderFailed, "replica_order_failed", Severity::Warning, "An order for replicas was refused, could not be fulfilled in this zone now, or its response was lost; it is decided again after the pause." },
        { EventId::ReplicasMissing, "replicas_missing", Severity::Warning, "Replicas left without an order, or ordered ones did not appear within a few boot times." },
        { EventId::StreamLeftReplica, "stream_left_replica", Severity::Info, "A stream is continued at another engine, because its engine leaves before the stream is expected to end." },
        { EventId::RunStopAnswered, "run_stop_answered", Severity::Info, "An engine was asked to end its run of a request; the fields give its answer, or the error when there was none, and the time." },
        { EventId::DefaultVersionChanged, "default_version_changed", Severity::Info, "The streams of a service that have no record are of another software version from now on." },
        { EventId::DefaultVersionNotStored, "default_version_not_stored", Severity::Warning, "A new default version was not written to the store; it is tried again." },
        { EventId::StreamRecordNotStored, "stream_record_not_stored", Severity::Warning, "Records of the versions of streams were not written to the store; they are tried again. Logged for the first failure." },
        { EventId::ResumedStreamVersion, "resumed_stream_version", Severity::Info, "A client resumes a stream; the fields give the version at which it goes on and how this daemon knows it, or why the version is not known." },
        { EventId::StreamBegunWithoutRecord, "stream_begun_without_record", Severity::Warning, "A stream has begun before the record of its version was written. Until then it may be resumed at the wrong version if this daemon ends." },
        { EventId::ReplicaErrorResponse, "replica_error_response", Severity::Warning, "A replica ran a call of a plain service and answered it with a status of 500 or above; the fields give what the daemon does." },
        { EventId::ReplicaCapacityChanged, "replica_capacity_changed", Severity::Info, "The learned concurrency limit or weight of a replica changed by much; the fields give the old and new values and their evidence." },
        { EventId::SlotAwaited, "slot_awaited", Severity::Info, "A request waited in this daemon for a slot; the fields give the time, the load that caused the wait, and how it ended." },
    });

    constexpr bool isSortedById()
    {
        for (size_t i = 1; i < events.size(); ++i) {
            if (events[i - 1].id >= events[i].id)
                return false;
        }
        return true;
    }
    static_assert(isSortedById(), "each event needs one row, sorted by its number");

} // namespace

const EventDescription& describe(EventId id)
{
    auto row = std::ranges::lower_bound(events, id, {}, &EventDescription::id);
    assert(row != events.end() && row->id == id);
    return *row;
}

std::span<const EventDescription> allEvents()
{
    return events;
}

std::string_view nameOf(Severity severity)
{
    switch (severity) {
    case Severity::Debug:
        return "debug";
    case Severity::Info:
        return "info";
    case Severity::Warning:
        return "warning";
    case Severity::Error:
        return "error";
    }
    return "info";
}

} // namespace chestnut
