#include "decisions/fairness/AccountShares.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <doctest/doctest.h>
#include <map>
#include <random>

using namespace chestnut;

namespace {

/** One account of a simulated load. */
struct Caller {
    std::string name;
    double perSecond = 0;
    uint32_t priority = 0;
    bool retriesAtOnce = false; /**< each refused request is sent again with the next step, until it is served */
};

struct Outcome {
    double requested = 0; /**< without immediate retries */
    double served = 0;
    double refusedByShare = 0;

    double part() const { return served / requested; }
};

/** Simulates a fleet with a bounded capacity: each daemon admits by sums that are some steps old, and the service then serves
    any admitted requests up to its capacity. */
class SharedService {
public:
    SharedService(std::vector<Caller> callers, double capacityPerSecond, bool hasShares)
        : m_callers(std::move(callers))
        , m_capacity(capacityPerSecond)
        , m_hasShares(hasShares)
    {
    }

    /** Simulates the time; only requests after the first `warmUp` seconds count. */
    void run(double seconds, double warmUp)
    {
        for (int step = 0; step < std::lround(seconds / stepSeconds); ++step)
            runStep(step * stepSeconds >= warmUp);
    }

    void setRate(const std::string& name, double perSecond) { std::ranges::find(m_callers, name, &Caller::name)->perSecond = perSecond; }

    void setCapacity(double perSecond) { m_capacity = perSecond; }

    const Outcome& operator[](const std::string& name) { return m_outcomes[name]; }
    void clear() { m_outcomes.clear(); }

    Outcome total() const
    {
        Outcome sum;
        for (const auto& [name, outcome] : m_outcomes) {
            sum.requested += outcome.requested;
            sum.served += outcome.served;
        }
        return sum;
    }

private:
    static constexpr int daemons = 30;
    static constexpr double stepSeconds = 0.1;
    static constexpr size_t delaySteps = 3;
    /** Half-lives as in the daemons. */
    static constexpr double requestHalfLife = 2;
    static constexpr double outcomeHalfLife = 0.5;

    void runStep(bool counts)
    {
        auto known = m_history.size() > delaySteps ? m_history[m_history.size() - delaySteps] : ServiceUse();
        std::array<ServiceUse, daemons> uses;
        std::vector<const Caller*> admitted;
        for (const auto& caller : m_callers) {
            auto fresh = std::poisson_distribution<int>(caller.perSecond * stepSeconds)(m_random);
            auto requests = fresh + std::exchange(m_retries[caller.name], 0);
            m_outcomes[caller.name].requested += counts ? fresh : 0;
            for (int i = 0; i < requests; ++i)
                admit(caller, known, uses[m_random() % daemons], admitted, counts);
        }
        serve(admitted, uses, counts);
        record(uses);
    }

    void admit(const Caller& caller, const ServiceUse& known, ServiceUse& use, std::vector<const Caller*>& admitted, bool counts)
    {
        ServiceUse own;
        own.accounts.push_back({ AccountId(caller.name), caller.priority, 1 });
        add(use, own);
        auto part = m_hasShares ? admittedPart(known, AccountId(caller.name), caller.priority) : 1;
        if (std::uniform_real_distribution<double>(0, 1)(m_random) < part) {
            use.admitted += 1;
            admitted.push_back(&caller);
            return;
        }
        m_outcomes[caller.name].refusedByShare += counts ? 1 : 0;
        m_retries[caller.name] += caller.retriesAtOnce ? 1 : 0;
    }

    void serve(std::vector<const Caller*>& admitted, std::array<ServiceUse, daemons>& uses, bool counts)
    {
        std::ranges::shuffle(admitted, m_random);
        // What is not used in one step is used in the next, as by requests that wait in between.
        m_credit = std::min(m_credit, m_capacity * stepSeconds) + m_capacity * stepSeconds;
        for (const auto* caller : admitted) {
            if (m_credit >= 1) {
                m_credit -= 1;
                m_outcomes[caller->name].served += counts ? 1 : 0;
                continue;
            }
            uses[m_random() % daemons].refused += 1;
            m_retries[caller->name] += caller->retriesAtOnce ? 1 : 0;
        }
    }

    /** Turns the sums of a step into rates that follow with the half-life. */
    static double follow(double rate, double sum, double halfLife)
    {
        auto kept = std::exp2(-stepSeconds / halfLife);
        return rate * kept + sum / stepSeconds * (1 - kept);
    }

    /** Adds up what the daemons report, each only its largest accounts. */
    void record(std::array<ServiceUse, daemons>& uses)
    {
        ServiceUse sum;
        for (size_t i = 0; i < uses.size(); ++i) {
            auto& held = m_held.at(i);
            auto& use = uses.at(i);
            held.admitted = follow(held.admitted, use.admitted, outcomeHalfLife);
            held.refused = follow(held.refused, use.refused, outcomeHalfLife);
            for (auto& account : held.accounts)
                account.requested = follow(account.requested, 0, requestHalfLife);
            use.admitted = use.refused = 0;
            for (auto& account : use.accounts)
                account.requested = follow(0, account.requested, requestHalfLife);
            add(held, use);
            auto reported = held;
            compact(reported);
            add(sum, reported);
        }
        compact(sum);
        m_history.push_back(std::move(sum));
    }

    std::vector<Caller> m_callers;
    double m_capacity;
    bool m_hasShares;
    std::mt19937_64 m_random { 7 };
    std::map<std::string, Outcome> m_outcomes;
    std::map<std::string, int> m_retries;
    std::array<ServiceUse, daemons> m_held;
    std::vector<ServiceUse> m_history;
    double m_credit = 0;
};

std::vector<Caller> smallCallers(int count, double perSecond)
{
    std::vector<Caller> callers;
    callers.reserve(static_cast<size_t>(count) + 2);
    for (int i = 0; i < count; ++i)
        callers.push_back({ "small" + std::to_string(i), perSecond });
    return callers;
}

double leastPart(SharedService& service, int count)
{
    double least = 1;
    for (int i = 0; i < count; ++i)
        least = std::min(least, service["small" + std::to_string(i)].part());
    return least;
}

} // namespace

// Guards against small accounts that are served like the excess of a large one.
TEST_CASE("a large account does not displace the others, and keeps a quarter of the common part")
{
    auto callers = smallCallers(40, 4);
    callers.push_back({ "large", 600 });
    SharedService without(callers, 200, false);
    without.run(60, 20);
    CHECK(leastPart(without, 40) < 0.4);
    SharedService with(callers, 200, true);
    with.run(60, 20);
    CHECK(leastPart(with, 40) > 0.75);
    CHECK(with["large"].part() > 0.25 * with.total().part());
    // The capacity is used in full.
    CHECK(with.total().served > 0.97 * without.total().served);
}

TEST_CASE("a caller that retries at once gains nothing and displaces nobody")
{
    auto callers = smallCallers(40, 4);
    callers.push_back({ "patient", 60 });
    callers.push_back({ "hasty", 60, 0, true });
    SharedService service(callers, 200, true);
    service.run(60, 20);
    CHECK(leastPart(service, 40) > 0.7);
    CHECK(service["patient"].part() > 0.25 * service.total().part());
}

// Guards against refusals while there is capacity.
TEST_CASE("unused capacity is lent, and without a shortage nothing is refused")
{
    auto callers = smallCallers(10, 2);
    callers.push_back({ "large", 150 });
    SharedService service(callers, 200, true);
    service.run(30, 0);
    CHECK(service["large"].refusedByShare == 0);
    service.clear();
    // Twice the demand: the large account gets all that the small ones leave.
    service.setRate("large", 300);
    service.run(40, 15);
    CHECK(leastPart(service, 10) > 0.75);
    CHECK(service["large"].served > 0.8 * 180 * 25);
    // Soon after the end of the shortage nothing is refused any more.
    service.setRate("large", 150);
    service.run(15, 15);
    service.clear();
    service.run(10, 0);
    CHECK(service["large"].refusedByShare == 0);
}

TEST_CASE("large accounts get equal amounts whatever they ask for")
{
    SharedService service({ { "a", 400 }, { "b", 200 }, { "c", 20 } }, 200, true);
    service.run(60, 20);
    CHECK(service["c"].part() > 0.75);
    CHECK(service["b"].served > 0.8 * service["a"].served);
    CHECK(service["a"].served < 1.35 * service["b"].served);
}

// Guards against urgent accounts that are refused while less urgent ones are served, and against the reverse without end.
TEST_CASE("urgent accounts are served first, and the others still get a quarter of the common part")
{
    SharedService service({ { "urgent", 150, 0 }, { "bulk", 600, 9 } }, 200, true);
    service.run(60, 20);
    CHECK(service["urgent"].part() > 0.75);
    CHECK(service["bulk"].part() > 0.25 * service.total().part());
}

// Guards against limits that outlast a shortage: a service that refuses everything for a moment is used again soon.
TEST_CASE("a few seconds after an outage of the whole service nothing is refused by shares")
{
    auto callers = smallCallers(10, 4);
    callers.push_back({ "large", 100 });
    SharedService service(callers, 200, true);
    service.run(10, 10);
    service.setCapacity(0);
    service.run(3, 3);
    service.setCapacity(200);
    service.run(5, 5);
    service.clear();
    service.run(10, 0);
    CHECK(service["large"].refusedByShare == 0);
    CHECK(service["large"].part() > 0.99);
}

TEST_CASE("only the largest accounts are listed, and the sums stay the same")
{
    ServiceUse use;
    double requested = 0;
    for (int i = 0; i < 100; ++i) {
        use.accounts.push_back({ AccountId("a" + std::to_string(i)), static_cast<uint32_t>(i % 7), 1.0 + i });
        requested += 1.0 + i;
    }
    compact(use);
    CHECK(use.accounts.size() == maximumListedAccounts + maximumOtherPriorities);
    CHECK(use.accounts[0].account == AccountId("a99"));
    double kept = 0;
    for (const auto& account : use.accounts)
        kept += account.requested;
    CHECK(kept == doctest::Approx(requested));
    auto again = use;
    compact(again);
    CHECK(again == use);
}

// Guards against limits that follow from chance, and against divisions by zero.
TEST_CASE("an account is limited only where the service is short and the account is listed")
{
    ServiceUse use { ServiceId("s"), 100, 1, { { AccountId("a"), 0, 1000 }, { AccountId("b"), 0, 0 }, { AccountId(), 0, 10 } } };
    CHECK(admittedPart(use, AccountId("a"), 0) == 1);
    use.refused = 50;
    CHECK(admittedPart(use, AccountId("a"), 0) < 0.1);
    CHECK(admittedPart(use, AccountId("a"), 1) == 1);
    CHECK(admittedPart(use, AccountId("b"), 0) == 1);
    CHECK(admittedPart(use, AccountId("x"), 0) == 1);
    CHECK(admittedPart(use, AccountId(), 0) == 1);
    use.admitted = 0;
    CHECK(admittedPart(use, AccountId("a"), 0) >= 0);
}
