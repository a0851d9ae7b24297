#pragma once

#include "gateway/replicas/LoadTracker.h"
#include "kernel/signals/AutoResetEvent.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>

namespace chestnut {

class RelayContext;

/** The requests of this daemon that wait for a slot, by service: the most urgent first, then those whose prompt has been read, then by
    deadline. They are counted as work of the fleet under waitingAt(), so that all daemons know how many wait. */
class SlotQueue {
public:
    enum class Step : uint8_t {
        Proceed,
        Wait,
        GiveUp,
    };
    /** Decides on a request; `hasWaited` is false for the first time. */
    using Decision = std::function<Step(bool hasWaited)>;

    /** How a request waits. */
    struct Conditions {
        EnginePosition order = 0; /**< position at the engines */
        bool holdsHandle = false; /**< its prompt has been read */
        TimePoint until; /**< end of the wait */
        bool takesSlot = true; /**< it must not overtake waiting requests when it proceeds at once */
    };

    SlotQueue(asio::io_context&, TimerService&, std::shared_ptr<LoadTracker>);

    /** Asks for a decision, and again while the request waits and is the first of its service. Returns Proceed or GiveUp;
        GiveUp also when the request is over or the wait has ended. A request that proceeds must begin its work before it suspends. */
    asio::awaitable<Step> wait(RelayContext&, Conditions, Decision);

private:
    struct Place {
        uint32_t priority = 0;
        bool hasNoHandle = true;
        TimePoint deadline;
        uint64_t number = 0;

        auto operator<=>(const Place&) const = default;
    };
    /** The waiting requests of a service and their events, which end the time until the next decision. */
    using Places = std::map<Place, AutoResetEvent*>;
    /** Holds a place; it may outlive the queue. */
    class PlaceGuard;

    asio::io_context& m_context;
    TimerService& m_timers;
    std::shared_ptr<LoadTracker> m_loadTracker;
    std::map<ServiceId, std::shared_ptr<Places>> m_places;
    uint64_t m_numbers = 0;
};

} // namespace chestnut
