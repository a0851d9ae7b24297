#include "decisions/outages/StoreAvailability.h"

#include <doctest/doctest.h>

using namespace chestnut;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration time)
{
    return TimePoint() + time;
}

} // namespace

// Guards against an open connection that has got silent, or a watch that was cut, being taken for an outage of the store.
TEST_CASE("one lost response is no outage of the store, two in a row or a refusal are one")
{
    StoreAvailability availability;
    recordResponse(availability, at(1s));
    recordFailure(availability, ErrorKind::PlatformAnswerLost, at(2s));
    CHECK_FALSE(availability.isUnavailable);
    // Until the next call is answered, the store may be away.
    CHECK(lastUnreachable(availability, at(3s)) == at(3s));
    CHECK_FALSE(recordResponse(availability, at(3s)));
    CHECK(lastUnreachable(availability, at(9s)) == at(1s));

    recordFailure(availability, ErrorKind::PlatformAnswerLost, at(10s));
    recordFailure(availability, ErrorKind::PlatformAnswerLost, at(11s));
    CHECK(availability.isUnavailable);
    CHECK(recordResponse(availability, at(12s)));
    CHECK(lastUnreachable(availability, at(13s)) == at(11s));

    recordFailure(availability, ErrorKind::PlatformUnavailable, at(20s));
    CHECK(availability.isUnavailable);
    CHECK(recordResponse(availability, at(21s)));
    CHECK(lastUnreachable(availability, at(22s)) == at(20s));
}

TEST_CASE("without a failed call the store was never out of reach")
{
    StoreAvailability availability;
    CHECK_FALSE(lastUnreachable(availability, at(1s)).has_value());
    recordResponse(availability, at(1s));
    CHECK_FALSE(lastUnreachable(availability, at(2s)).has_value());
    CHECK(expiryGraceAt(at(2s), {}) == 0s);
}

// Guards against a removed replica that gets work for longer because the removal was read late.
TEST_CASE("the grace of an expired entry counts from the last time without the store, not from when its removal is read")
{
    CHECK(expiryGraceAt(at(10s), at(10s)) == 2500ms);
    CHECK(expiryGraceAt(at(12s), at(10s)) == 500ms);
    CHECK(expiryGraceAt(at(13s), at(10s)) == 0s);
}
