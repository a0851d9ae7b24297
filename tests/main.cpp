#define DOCTEST_CONFIG_IMPLEMENT
#include <cstdlib>
#include <doctest/doctest.h>
#include <fstream>
#include <iostream>
#include <string>

namespace {

/** doctest separates filter patterns by commas, so a comma in a name is matched by a wildcard. */
std::string filterFor(std::string name)
{
    for (auto& c : name) {
        if (c == ',')
            c = '?';
    }
    return name;
}

/** Excludes the test cases that KNOWN-RED.txt lists in lines `test: <case>`, and prints their names. */
void excludeKnownRed(doctest::Context& context)
{
    if (std::getenv("CHESTNUT_RUN_KNOWN_RED"))
        return;
    constexpr std::string_view marker = "test: ";
    std::ifstream file(std::string(CHESTNUT_SOURCE_DIR) + "/KNOWN-RED.txt");
    for (std::string line; std::getline(file, line);) {
        if (!line.starts_with(marker))
            continue;
        auto name = line.substr(marker.size());
        std::cout << "known red, not run: " << name << "\n";
        context.addFilter("test-case-exclude", filterFor(name).c_str());
    }
}

} // namespace

int main(int argumentCount, char** arguments)
{
    doctest::Context context;
    excludeKnownRed(context);
    context.applyCommandLine(argumentCount, arguments);
    return context.run();
}
