#include "FleetSimulation.h"
#include "support/FixedSeed.h"

#include <cstdlib>
#include <doctest/doctest.h>

using namespace chestnut;
using namespace chestnut::fuzz;

namespace {

constexpr int defaultRuns = 300;
constexpr int maximumHistoryLength = 100;

int runsFromEnvironment()
{
    const char* runs = std::getenv("CHESTNUT_FUZZ_RUNS");
    return runs ? std::max(1, std::atoi(runs)) : defaultRuns;
}

rc::Gen<Command> commandGenerator()
{
    auto kind = rc::gen::weightedOneOf<CommandKind>({ { 6, rc::gen::just(CommandKind::Advance) }, { 5, rc::gen::just(CommandKind::Call) },
        { 4, rc::gen::just(CommandKind::Generate) }, { 4, rc::gen::just(CommandKind::Submit) },
        { 10, rc::gen::map(rc::gen::inRange<int>(0, commandKinds), [](int value) { return static_cast<CommandKind>(value); }) } });
    auto number = rc::gen::inRange<uint8_t>(0, 40);
    return rc::gen::build<Command>(rc::gen::set(&Command::kind, kind), rc::gen::set(&Command::a, number), rc::gen::set(&Command::b, number), rc::gen::set(&Command::c, number));
}

/** Runs random histories. The result contains the shrunk history of a violation. */
rc::detail::TestResult runHistories(Variant variant, uint64_t seed, int runs, std::optional<Check>* caught = nullptr)
{
    return runWithSeed(
        "invariants", seed, runs, [=] {
            FleetSimulation simulation(variant, seed);
            auto history = *rc::gen::container<std::vector<Command>>(commandGenerator());
            for (const auto& command : history)
                simulation.apply(command);
            simulation.settle();
            if (!simulation.oracle.violation)
                return;
            if (caught)
                *caught = simulation.oracle.violation->check;
            RC_FAIL(std::string(checkNames.at(static_cast<size_t>(simulation.oracle.violation->check))) + ": " + simulation.oracle.violation->detail);
        },
        maximumHistoryLength);
}

struct VariantCase {
    Variant variant;
    const char* name;
    Check expected;
};

constexpr VariantCase variantCases[] {
    { Variant::ConflictingOrders, "conflicting orders", Check::H1NoConflictingOrders },
    { Variant::DrainSkipped, "drain skipped", Check::H2NoInterruptionByPlannedChange },
    { Variant::LeaseEndIgnored, "lease end not checked", Check::H3NoOrderWithoutAuthority },
    { Variant::ResponseToOtherAccount, "response given to another account", Check::H4OwnCompleteResponse },
    { Variant::FalseRefusal, "false refusal", Check::H5TrueRefusal },
    { Variant::ClaimSkipped, "claim skipped", Check::H6AtMostOnce },
    { Variant::LeavingServerUsed, "leaving server receives calls", Check::H7LeavingServerGetsNoWork },
    { Variant::UngracefulStop, "ungraceful stop", Check::H8GracefulStop },
    { Variant::RevisionReverts, "revision reverts", Check::H9ConfigurationInForce },
};

} // namespace

// Guards against histories of faults in which one of the invariants H1 to H9 does not hold.
TEST_CASE("the invariants hold in random histories")
{
    for (uint64_t seed : { 101, 102, 103 }) {
        auto result = runHistories(Variant::Correct, seed, runsFromEnvironment());
        bool holds = result.is<rc::detail::SuccessResult>();
        if (!holds) {
            std::cerr << "seed " << seed << ": ";
            rc::detail::printResultMessage(result, std::cerr);
            std::cerr << "\n";
        }
        CHECK(holds);
    }
}

// Guards against a check that cannot fail.
TEST_CASE("each known-wrong variant is caught by the check of its invariant")
{
    for (const auto& entry : variantCases) {
        std::optional<Check> caught;
        auto result = runHistories(entry.variant, 104, defaultRuns, &caught);
        const char* check = caught ? checkNames.at(static_cast<size_t>(*caught)) : "nothing";
        rc::detail::FailureResult failure;
        int run = result.match(failure) ? failure.numSuccess + 1 : 0;
        std::cout << "variant \"" << entry.name << "\" caught by " << check << " in run " << run << "\n";
        CHECK_MESSAGE(caught == entry.expected, std::string(entry.name));
    }
}
