#include "base/events/EventId.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace chestnut {

namespace {

    constexpr auto events = std::to_array<EventDescription>({
        // kernel and programs
        { EventId::DaemonStarted, "daemon_started", Severity::Info, "The process has read its settings and opens its listeners." },
        { EventId::DaemonReady, "daemon_ready", Severity::Info, "The daemon has a configuration and accepts requests." },
        { EventId::DaemonLeaving, "daemon_leaving", Severity::Info, "A termination signal arrived; the daemon finishes its work." },
        { EventId::DaemonStopped, "daemon_stopped", Severity::Info, "All work is finished; the process exits." },
        { EventId::SettingsRefused, "settings_refused", Severity::Error, "A setting is unknown, missing or out of range." },

        // http
        { EventId::ListenerStarted, "listener_started", Severity::Info, "A listener accepts connections." },
        { EventId::ConnectionRefused, "connection_refused", Severity::Warning, "The connection limit of a listener is reached." },
        { EventId::HandlerFailed, "handler_failed", Severity::Error, "A request handler ended with an exception." },

        // platform
        { EventId::PlatformLost, "platform_lost", Severity::Warning, "Calls to the key-value service fail." },
        { EventId::PlatformRestored, "platform_restored", Severity::Info, "Calls to the key-value service succeed again." },
        { EventId::PlatformBudgetExhausted, "platform_budget_exhausted", Severity::Warning, "The call budget for the key-value service is used up; calls are delayed." },

        // backends

        // peers

        // claims

        // control

        // frontend
        { EventId::RequestRouted, "request_routed", Severity::Info, "A replica was chosen for a request." },
        { EventId::RequestRefused, "request_refused", Severity::Info, "A request was refused; the fields give kind and reason." },
        { EventId::RequestCompleted, "request_completed", Severity::Info, "The whole answer was sent to the caller." },
        { EventId::RequestPreempted, "request_preempted", Severity::Info, "A batch request gave its slot to live work; it is resumed later." },
        { EventId::AttemptFailed, "attempt_failed", Severity::Warning, "An attempt at a replica failed; the fields say what follows." },
        { EventId::ReplicaHealthChanged, "replica_health_changed", Severity::Warning, "A replica was ejected, put on probation or taken back." },
        { EventId::ReplicaUnresponsive, "replica_unresponsive", Severity::Warning, "A replica does not respond and gets no new work." },
        { EventId::ReplicaResponsive, "replica_responsive", Severity::Info, "A replica responds again." },
        { EventId::RequestSuspected, "request_suspected", Severity::Warning, "A replica was lost; the requests that ran there are suspected." },
        { EventId::RequestHedged, "request_hedged", Severity::Info, "A second attempt was started because the first one is late." },
        { EventId::StreamResumed, "stream_resumed", Severity::Info, "A caller resumed a stream." },
        { EventId::FrontendStopping, "frontend_stopping", Severity::Info, "The callers' listener takes no new work and finishes what it has." },
        { EventId::FrontendStopped, "frontend_stopped", Severity::Info, "No caller request is in progress any more." },
        { EventId::AnswerCrossed, "answer_crossed", Severity::Warning, "An engine sent the answer of another request; the stream is joined again." },

        // operations
    });

    constexpr bool numbersGrow()
    {
        for (size_t i = 1; i < events.size(); ++i) {
            if (events[i - 1].id >= events[i].id)
                return false;
        }
        return true;
    }
    static_assert(numbersGrow(), "events are listed in the order of their numbers, each once");

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
