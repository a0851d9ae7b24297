#pragma once

#include "support/FixedSeed.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace chestnut::fuzz {

/** Changes random bytes of a valid text, and sometimes truncates it or repeats its end. */
inline std::string mutatedText(std::string text)
{
    auto changes = *rc::gen::container<std::vector<std::pair<uint16_t, char>>>(rc::gen::arbitrary<std::pair<uint16_t, char>>());
    for (auto [position, value] : changes) {
        if (!text.empty())
            text[position % text.size()] = value;
    }
    auto kept = *rc::gen::inRange<size_t>(0, text.size() * 2 + 1);
    return kept % 2 == 0 ? text.substr(0, kept) : text + text.substr(std::min(kept, text.size()));
}

/** Replaces one to three values of a JSON document by values of other types or extreme values; the result is valid JSON. */
inline std::string mutatedJson(const std::string& text)
{
    using nlohmann::json;
    static const std::vector<json> values { nullptr, true, -1, 0, 1, UINT64_MAX, INT64_MIN, 1e308, -0.5, "", "x", "1e9", std::string(300, 'a'),
        json::array(), json::object(), { 1, "a" }, { { "a", { { "b", 1 } } } } };
    auto document = json::parse(text);
    for (auto count = *rc::gen::inRange(1, 4); count > 0; --count) {
        auto flat = document.flatten();
        if (!flat.is_object() || flat.empty())
            break;
        auto pointer = json::json_pointer(std::next(flat.begin(), *rc::gen::inRange<int>(0, static_cast<int>(flat.size()))).key());
        // Replaces the value, or in a third of the cases the container around it.
        if (*rc::gen::inRange(0, 3) == 0 && !pointer.empty())
            pointer.pop_back();
        document[pointer] = values[*rc::gen::inRange<size_t>(0, values.size())];
    }
    return document.dump();
}

/** Returns random bytes, a mutated valid text, or valid JSON with other values. */
inline std::string hostileText(const std::string& valid, bool isJson)
{
    switch (*rc::gen::inRange(0, isJson ? 4 : 2)) {
    case 0:
        return *rc::gen::arbitrary<std::string>();
    case 1:
        return mutatedText(valid);
    default:
        return mutatedJson(valid);
    }
}

} // namespace chestnut::fuzz
