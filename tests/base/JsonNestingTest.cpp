#include "base/text/JsonNesting.h"

#include <doctest/doctest.h>
#include <string>

using namespace chestnut;

// Guards against a text that exhausts the memory or the stack, and against valid texts that are refused.
TEST_CASE("the nesting of a JSON text counts arrays and objects outside of strings")
{
    std::string deepest(maximumJsonNesting, '[');
    CHECK_FALSE(isNestedTooDeep(deepest));
    CHECK(isNestedTooDeep(deepest + "["));
    CHECK(isNestedTooDeep(deepest + "{"));
    CHECK_FALSE(isNestedTooDeep(deepest + "]["));
    CHECK_FALSE(isNestedTooDeep(deepest + R"("[{\"[")"));
    CHECK(isNestedTooDeep(deepest + R"("\\"[)"));
    CHECK_FALSE(isNestedTooDeep(deepest + R"("[[)"));
    CHECK_FALSE(isNestedTooDeep(deepest + R"("[\)"));
    std::string siblings;
    for (int i = 0; i < 2 * maximumJsonNesting; ++i)
        siblings += "[{}],";
    CHECK_FALSE(isNestedTooDeep(siblings));
    CHECK_FALSE(isNestedTooDeep(""));
}
