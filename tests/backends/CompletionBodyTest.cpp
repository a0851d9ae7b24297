#include "backends/engines/CompletionBody.h"

#include "backends/engines/EngineMessages.h"

#include <doctest/doctest.h>

using namespace chestnut;

// Guards against a nested document of a caller or an engine that ends the daemon: writing it again exhausts the stack.
TEST_CASE("a document that is nested too deeply is refused")
{
    constexpr size_t depth = 200'000;
    auto nested = std::string(depth, '[') + std::string(depth, ']');
    auto request = R"({"model":"m","prompt":"p","max_tokens":1,"x":)" + nested + "}";
    auto body = parseCompletionBody(request);
    REQUIRE_FALSE(body.has_value());
    CHECK(body.error().kind == ErrorKind::BadJson);
    CHECK(parseCompletionChunk(R"({"id":"q","choices":[{"text":"t"}],"x":)" + nested + "}").error().kind == ErrorKind::ProtocolError);
    CHECK(parseEngineLoad(nested).error().kind == ErrorKind::ProtocolError);
}
