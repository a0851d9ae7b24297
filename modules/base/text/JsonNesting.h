#pragma once

#include <string_view>

namespace chestnut {

/** Deepest nesting of arrays and objects that is accepted from another program. */
constexpr int maximumJsonNesting = 64;

/** Whether a JSON text nests arrays and objects more deeply than maximumJsonNesting. The JSON library takes many times the size of such a
    text, and writes nested values by recursion, which exhausts the stack. */
bool isNestedTooDeep(std::string_view text);

} // namespace chestnut
