#pragma once

#include <iostream>
#include <rapidcheck.h>
#include <string>

namespace chestnut {

/** Checks a RapidCheck property with a fixed seed and returns the result with its shrunk counterexample. */
template <typename Property>
rc::detail::TestResult runWithSeed(const std::string& name, uint64_t seed, int runs, Property&& property, int maximumSize = 100)
{
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    metadata.description = name;
    rc::detail::TestParams parameters;
    parameters.seed = seed;
    parameters.maxSuccess = runs;
    parameters.maxSize = maximumSize;
    return rc::detail::checkTestable(std::forward<Property>(property), metadata, parameters);
}

/** Like runWithSeed(), but returns whether the property holds and prints the seed and the counterexample if not. */
template <typename Property>
bool checkWithSeed(const std::string& name, uint64_t seed, int runs, Property&& property)
{
    auto result = runWithSeed(name, seed, runs, std::forward<Property>(property));
    if (result.template is<rc::detail::SuccessResult>())
        return true;
    std::cerr << name << ", seed " << seed << ": ";
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << "\n";
    return false;
}

} // namespace chestnut
