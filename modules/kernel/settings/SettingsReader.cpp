#include "kernel/settings/SettingsReader.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <boost/leaf/error.hpp>
#include <charconv>
#include <set>

// Settings are byte strings; SimpleIni's conversion of wide characters needs a header that Debian does not ship.
#define SI_NO_CONVERSION
#include <SimpleIni.h>

namespace chestnut {

namespace asio = boost::asio;
namespace leaf = boost::leaf;

namespace {

    struct DurationUnit {
        std::string_view suffix;
        Duration length;
    };

    // The first matching suffix is used, so "ms" and "us" come before "s".
    constexpr auto durationUnits = std::to_array<DurationUnit>({
        { "ms", std::chrono::milliseconds(1) },
        { "us", std::chrono::microseconds(1) },
        { "s", std::chrono::seconds(1) },
        { "m", std::chrono::minutes(1) },
        { "h", std::chrono::hours(1) },
    });

    template <typename T>
    std::optional<T> parseNumber(std::string_view text)
    {
        T value {};
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    std::string settingName(std::string_view section, std::string_view key)
    {
        return std::string(section) + "." + std::string(key);
    }

    std::string_view trim(std::string_view text)
    {
        constexpr std::string_view blanks = " \t";
        auto first = text.find_first_not_of(blanks);
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(blanks) - first + 1);
    }

} // namespace

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto host = text.substr(0, colon);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    auto port = parseNumber<uint16_t>(text.substr(colon + 1));
    // make_address reads a host only up to the first null byte.
    if (host.find('\0') != std::string_view::npos)
        return std::nullopt;
    boost::system::error_code error;
    auto address = asio::ip::make_address(std::string(host), error);
    if (error || !port)
        return std::nullopt;
    return Endpoint { address.to_string(), *port };
}

bool isConnectable(const Endpoint& endpoint)
{
    boost::system::error_code error;
    auto address = asio::ip::make_address(endpoint.address, error);
    auto isBroadcast = address == asio::ip::address(asio::ip::address_v4::broadcast());
    return !error && endpoint.port != 0 && !address.is_unspecified() && !address.is_multicast() && !isBroadcast;
}

std::string formatEndpoint(const Endpoint& endpoint)
{
    auto host = endpoint.address.find(':') == std::string::npos ? endpoint.address : "[" + endpoint.address + "]";
    return host + ":" + std::to_string(endpoint.port);
}

std::optional<Duration> parseDuration(std::string_view text)
{
    for (const auto& [suffix, length] : durationUnits) {
        if (!text.ends_with(suffix))
            continue;
        auto count = parseNumber<int64_t>(text.substr(0, text.size() - suffix.size()));
        constexpr int64_t maximumCount = 1'000'000'000;
        if (!count || *count < 0 || *count > maximumCount)
            return std::nullopt;
        return *count * length;
    }
    return std::nullopt;
}

std::string formatDuration(Duration duration)
{
    auto count = duration.count();
    for (const auto& suffix : { "h", "m", "s", "ms" }) {
        auto unit = std::ranges::find(durationUnits, std::string_view(suffix), &DurationUnit::suffix)->length.count();
        if (count % unit == 0)
            return std::to_string(count / unit) + suffix;
    }
    return std::to_string(count) + "us";
}

struct SettingsReader::Document {
    CSimpleIniA ini { true };
    std::vector<SettingFault> faults;
    std::set<std::pair<std::string, std::string>> readKeys;
};

SettingsReader::SettingsReader(std::unique_ptr<Document> document)
    : m_document(std::move(document))
{
}

SettingsReader::SettingsReader(SettingsReader&&) noexcept = default;
SettingsReader& SettingsReader::operator=(SettingsReader&&) noexcept = default;
SettingsReader::~SettingsReader() = default;

leaf::result<SettingsReader> SettingsReader::fromText(std::string_view text)
{
    auto document = std::make_unique<Document>();
    if (document->ini.LoadData(text.data(), text.size()) < 0)
        return leaf::new_error(makeError(ErrorKind::SettingsInvalid, "the settings are not a valid INI document"));
    return SettingsReader(std::move(document));
}

leaf::result<SettingsReader> SettingsReader::fromFile(const std::string& path)
{
    auto document = std::make_unique<Document>();
    if (document->ini.LoadFile(path.c_str()) < 0)
        return leaf::new_error(makeError(ErrorKind::SettingsInvalid, "cannot read the settings file " + path));
    return SettingsReader(std::move(document));
}

std::optional<std::string> SettingsReader::readRaw(std::string_view section, std::string_view key)
{
    std::string sectionName(section);
    std::string keyName(key);
    m_document->readKeys.emplace(sectionName, keyName);
    const char* value = m_document->ini.GetValue(sectionName.c_str(), keyName.c_str());
    // A platform without this value may leave the placeholder of the template.
    if (!value || std::string_view(value).find("{{") != std::string_view::npos)
        return std::nullopt;
    return std::string(trim(value));
}

std::string SettingsReader::text(std::string_view section, std::string_view key, std::optional<std::string> fallback)
{
    auto value = readRaw(section, key);
    if (value && !value->empty())
        return *value;
    if (!fallback)
        addFault({ settingName(section, key), value.value_or("(missing)"), "a value is required" });
    return fallback.value_or("");
}

int64_t SettingsReader::integer(std::string_view section, std::string_view key, int64_t fallback, int64_t minimum, int64_t maximum)
{
    auto value = readRaw(section, key);
    if (!value)
        return fallback;
    auto parsed = parseNumber<int64_t>(*value);
    if (parsed && *parsed >= minimum && *parsed <= maximum)
        return *parsed;
    addFault({ settingName(section, key), *value, "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum) });
    return fallback;
}

double SettingsReader::number(std::string_view section, std::string_view key, double fallback, double minimum, double maximum)
{
    auto value = readRaw(section, key);
    if (!value)
        return fallback;
    auto parsed = parseNumber<double>(*value);
    if (parsed && *parsed >= minimum && *parsed <= maximum)
        return *parsed;
    addFault({ settingName(section, key), *value, "a number from " + std::to_string(minimum) + " to " + std::to_string(maximum) });
    return fallback;
}

bool SettingsReader::boolean(std::string_view section, std::string_view key, bool fallback)
{
    auto value = readRaw(section, key);
    if (!value)
        return fallback;
    if (*value == "true" || *value == "false")
        return *value == "true";
    addFault({ settingName(section, key), *value, "true or false" });
    return fallback;
}

Duration SettingsReader::duration(std::string_view section, std::string_view key, Duration fallback, Duration minimum, Duration maximum)
{
    auto value = readRaw(section, key);
    if (!value)
        return fallback;
    auto parsed = parseDuration(*value);
    if (parsed && *parsed >= minimum && *parsed <= maximum)
        return *parsed;
    addFault({ settingName(section, key), *value, "a duration such as 250ms or 5s, from " + formatDuration(minimum) + " to " + formatDuration(maximum) });
    return fallback;
}

Endpoint SettingsReader::endpoint(std::string_view section, std::string_view key, std::optional<Endpoint> fallback)
{
    auto value = readRaw(section, key);
    if (!value && fallback)
        return *fallback;
    if (auto parsed = parseEndpoint(value.value_or("")))
        return *parsed;
    addFault({ settingName(section, key), value.value_or("(missing)"), "an IP address and port such as 127.0.0.1:8000" });
    return {};
}

std::vector<Endpoint> SettingsReader::endpoints(std::string_view section, std::string_view key)
{
    std::vector<Endpoint> parsed;
    auto value = readRaw(section, key).value_or("");
    std::string_view rest = value;
    while (!rest.empty()) {
        auto comma = rest.find(',');
        auto item = trim(rest.substr(0, comma));
        rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
        if (auto endpoint = parseEndpoint(item))
            parsed.push_back(*endpoint);
        else
            addFault({ settingName(section, key), std::string(item), "a comma-separated list of IP addresses with ports" });
    }
    return parsed;
}

std::string SettingsReader::oneOf(std::string_view section, std::string_view key, std::string_view fallback, const std::vector<std::string>& allowed)
{
    auto value = readRaw(section, key);
    if (!value)
        return std::string(fallback);
    if (std::ranges::find(allowed, *value) != allowed.end())
        return *value;
    std::string choices;
    for (const auto& choice : allowed)
        choices += (choices.empty() ? "" : ", ") + choice;
    addFault({ settingName(section, key), *value, "one of " + choices });
    return std::string(fallback);
}

void SettingsReader::addFault(SettingFault fault)
{
    m_document->faults.push_back(std::move(fault));
}

std::vector<std::string> SettingsReader::declaredSettings() const
{
    std::vector<std::string> names;
    for (const auto& [section, key] : m_document->readKeys)
        names.push_back(settingName(section, key));
    return names;
}

std::vector<SettingFault> SettingsReader::faults() const
{
    auto faults = m_document->faults;
    CSimpleIniA::TNamesDepend sections;
    m_document->ini.GetAllSections(sections);
    for (const auto& section : sections) {
        CSimpleIniA::TNamesDepend keys;
        m_document->ini.GetAllKeys(section.pItem, keys);
        for (const auto& key : keys) {
            if (!m_document->readKeys.contains({ section.pItem, key.pItem }))
                faults.push_back({ settingName(section.pItem, key.pItem), m_document->ini.GetValue(section.pItem, key.pItem, ""), "no such setting" });
        }
    }
    return faults;
}

} // namespace chestnut
