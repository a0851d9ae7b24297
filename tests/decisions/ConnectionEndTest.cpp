#include "decisions/streams/ConnectionEnd.h"

#include <doctest/doctest.h>

using namespace chestnut;

// Guards against a body that counts as whole although something else than its end explains the closed connection.
TEST_CASE("a body that ends with its connection is whole only when nothing else explains the end")
{
    CHECK(isWholeBody({}));
    CHECK_FALSE(isWholeBody({ .mayHaveStopped = true }));
    CHECK_FALSE(isWholeBody({ .isRequestOver = true }));
    CHECK_FALSE(isWholeBody({ .hasReplicaLeft = true }));
    CHECK_FALSE(isWholeBody({ true, true, true }));
}
