#include "gateway/requests/SlotQueue.h"

#include "gateway/requests/RelayContext.h"

namespace chestnut {

namespace {

    /** Time between two decisions on a waiting request. The counts of other daemons change less often. */
    constexpr Duration pollPeriod = std::chrono::milliseconds(10);

} // namespace

class SlotQueue::PlaceGuard {
public:
    PlaceGuard(std::shared_ptr<Places> places, Place place, AutoResetEvent& event)
        : m_places(std::move(places))
        , m_place(place)
    {
        m_places->emplace(place, &event);
    }
    PlaceGuard(const PlaceGuard&) = delete;
    PlaceGuard& operator=(const PlaceGuard&) = delete;
    ~PlaceGuard() { m_places->erase(m_place); }

    bool isFirst() const { return m_places->begin()->first == m_place; }

    /** Asks the next request for its decision, once this one has begun its work. */
    void notifyNext() const
    {
        if (auto next = m_places->upper_bound(m_place); next != m_places->end())
            next->second->notify();
    }

private:
    std::shared_ptr<Places> m_places;
    Place m_place;
};

SlotQueue::SlotQueue(asio::io_context& context, TimerService& timers, std::shared_ptr<LoadTracker> loadTracker)
    : m_context(context)
    , m_timers(timers)
    , m_loadTracker(std::move(loadTracker))
{
}

asio::awaitable<SlotQueue::Step> SlotQueue::wait(RelayContext& relay, Conditions conditions, Decision decide)
{
    auto& places = m_places[relay.service];
    if (!places)
        places = std::make_shared<Places>();
    Place place { relay.priority(), !conditions.holdsHandle, relay.deadline(), ++m_numbers };
    auto isFirst = places->empty() || place < places->begin()->first;
    auto first = decide(false);
    if (first == Step::GiveUp || (first == Step::Proceed && (isFirst || !conditions.takesSlot)))
        co_return first;
    AutoResetEvent event(m_context);
    PlaceGuard guard(places, place, event);
    auto counted = m_loadTracker->beginDecode(waitingAt(relay.service), relay.priorities().levels() > 1 ? std::optional(conditions.order) : std::nullopt);
    while (!relay.isOver() && m_timers.now() < conditions.until) {
        co_await event.waitFor(m_timers, pollPeriod);
        if (relay.isOver() || !guard.isFirst())
            continue;
        auto step = decide(true);
        if (step == Step::Wait)
            continue;
        guard.notifyNext();
        co_return step;
    }
    co_return Step::GiveUp;
}

} // namespace chestnut
