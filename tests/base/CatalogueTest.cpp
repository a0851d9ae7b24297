#include "base/base.h"

#include <doctest/doctest.h>
#include <fstream>
#include <set>
#include <sstream>

using namespace chestnut;

namespace {

std::string fileText(const std::string& path)
{
    std::ifstream file(std::string(CHESTNUT_SOURCE_DIR) + "/" + path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string row(const EventDescription& event)
{
    std::ostringstream text;
    text << "| " << static_cast<unsigned>(event.id) << " | `" << event.name << "` | " << nameOf(event.severity) << " | " << event.meaning << " |\n";
    return text.str();
}

std::string row(const ErrorDescription& error)
{
    std::ostringstream text;
    text << "| `" << error.name << "` | " << error.status << " | " << nameOf(error.outcome) << " | " << (error.sendsRetryAfter ? "yes" : "no") << " | " << error.meaning << " |\n";
    return text.str();
}

size_t countRows(const std::string& text)
{
    size_t rows = 0;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);)
        rows += line.starts_with("| ") ? 1 : 0;
    return rows;
}

constexpr size_t headerRows = 2; // the title row and the row of dashes

} // namespace

// Guards against an undocumented event, and against a documented one that no longer exists.
TEST_CASE("docs/events.md lists exactly the events of the code")
{
    auto text = fileText("docs/events.md");
    for (const auto& event : allEvents())
        CHECK_MESSAGE(text.find(row(event)) != std::string::npos, "missing row: " << row(event));
    CHECK(countRows(text) == allEvents().size() + headerRows);
}

// Guards against an error whose documented status or outcome differs from the one that is sent.
TEST_CASE("docs/errors.md lists exactly the error kinds of the code")
{
    auto text = fileText("docs/errors.md");
    for (const auto& error : allErrorDescriptions())
        CHECK_MESSAGE(text.find(row(error)) != std::string::npos, "missing row: " << row(error));
    CHECK(countRows(text) == allErrorDescriptions().size() + headerRows);
}

// Guards against a 503 or 429 response with the outcome "not run" that does not say when to retry.
TEST_CASE("each temporary error sends Retry-After")
{
    for (const auto& error : allErrorDescriptions()) {
        if (error.outcome == Outcome::NotRun && (error.status == 503 || error.status == 429))
            CHECK_MESSAGE(error.sendsRetryAfter, error.name);
    }
}

// Guards against two errors or two events that clients and log searches cannot tell apart.
TEST_CASE("names of events and errors are unique")
{
    std::set<std::string_view> names;
    for (const auto& event : allEvents())
        CHECK_MESSAGE(names.insert(event.name).second, event.name);
    names.clear();
    for (const auto& error : allErrorDescriptions()) {
        CHECK_MESSAGE(names.insert(error.name).second, error.name);
        CHECK(errorKindFromName(error.name) == error.kind);
    }
}

// Guards against digests that change when they are written as text and read back.
TEST_CASE("a digest is unchanged after a round trip through hexadecimal text")
{
    auto digest = digestOf("handle");
    CHECK(digestFromHex(toHex(digest)) == digest);
    CHECK(digestOf("grip") != digest);
    CHECK_FALSE(digestFromHex("xyz"));
    CHECK_FALSE(digestFromHex(std::string(32, 'g')));
}
