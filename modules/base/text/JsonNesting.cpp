#include "base/text/JsonNesting.h"

namespace chestnut {

namespace {

    /** The position after the string that starts at `start` with its quotation mark, or the end of the text. */
    size_t endOfString(std::string_view text, size_t start)
    {
        for (auto i = start + 1; i < text.size(); ++i) {
            if (text[i] == '\\')
                ++i;
            else if (text[i] == '"')
                return i + 1;
        }
        return text.size();
    }

} // namespace

bool isNestedTooDeep(std::string_view text)
{
    int depth = 0;
    for (size_t i = 0; i < text.size();) {
        auto character = text[i];
        if (character == '"') {
            i = endOfString(text, i);
            continue;
        }
        if (character == '[' || character == '{')
            ++depth;
        else if (character == ']' || character == '}')
            --depth;
        if (depth > maximumJsonNesting)
            return true;
        ++i;
    }
    return false;
}

} // namespace chestnut
