#include "base/base.h"

#include <iostream>
#include <string_view>

using namespace chestnut;

namespace {

void printEvents()
{
    std::cout << "# Log events\n\nWritten by `scripts/catalogue`. Every log line starts with the event's number and name.\n\n"
              << "| number | name | severity | meaning |\n| --- | --- | --- | --- |\n";
    for (const auto& event : allEvents())
        std::cout << "| " << static_cast<unsigned>(event.id) << " | `" << event.name << "` | " << nameOf(event.severity) << " | " << event.meaning << " |\n";
}

void printErrors()
{
    std::cout << "# Errors\n\nWritten by `scripts/catalogue`. Outcomes: `not_run` - no byte of the request can have reached a backend that might act on\n"
              << "it; `unknown` - it may or may not have run; `failed` - it reached a backend and did not complete.\n\n"
              << "| kind | status | outcome | Retry-After | meaning |\n| --- | --- | --- | --- | --- |\n";
    for (const auto& error : allErrorDescriptions()) {
        std::cout << "| `" << error.name << "` | " << error.status << " | " << nameOf(error.outcome) << " | "
                  << (error.sendsRetryAfter ? "yes" : "no") << " | " << error.meaning << " |\n";
    }
}

} // namespace

/** Prints docs/events.md or docs/errors.md from the event and error tables in the code. */
int main(int argumentCount, char** arguments)
{
    std::string_view page = argumentCount == 2 ? arguments[1] : "";
    if (page == "events")
        printEvents();
    else if (page == "errors")
        printErrors();
    else {
        std::cerr << "usage: catalogue events|errors\n";
        return 2;
    }
    return 0;
}
