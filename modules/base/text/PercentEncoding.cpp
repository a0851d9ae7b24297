#include "base/text/PercentEncoding.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/string_view.h>

namespace chestnut {

namespace {

    bool isUnreserved(char c)
    {
        return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '/' || c == '-' || c == '_' || c == '.' || c == '~';
    }

} // namespace

std::string percentEncodePath(std::string_view text)
{
    std::string encoded;
    for (char c : text) {
        if (isUnreserved(c))
            encoded += c;
        else
            encoded += '%' + absl::BytesToHexString(absl::string_view(&c, 1));
    }
    return encoded;
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (size_t i = 0; i < text.size(); ++i) {
        bool isEscape = text[i] == '%' && i + 2 < text.size()
            && absl::ascii_isxdigit(static_cast<unsigned char>(text[i + 1])) && absl::ascii_isxdigit(static_cast<unsigned char>(text[i + 2]));
        if (!isEscape) {
            decoded += text[i];
            continue;
        }
        decoded += absl::HexStringToBytes(absl::string_view(text.data() + i + 1, 2));
        i += 2;
    }
    return decoded;
}

} // namespace chestnut
