#pragma once

#include "base/errors/Result.h"
#include "base/time/TimePoint.h"

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chestnut {

/** An invalid setting, its value and the allowed values. */
struct SettingFault {
    std::string setting; /**< `section.key` */
    std::string value;
    std::string allowed;

    bool operator==(const SettingFault&) const = default;
};

/** An IP address and a TCP port. */
struct Endpoint {
    std::string address;
    uint16_t port = 0;

    auto operator<=>(const Endpoint&) const = default;
};

/** Parses `127.0.0.1:8000` or `[::1]:8000`; host names are invalid, because processes address each other by IP. */
std::optional<Endpoint> parseEndpoint(std::string_view);
/** Whether another program can listen there: the address is that of one host, and the port is known. */
bool isConnectable(const Endpoint&);
std::string formatEndpoint(const Endpoint&);

/** Parses an integer with a unit: `250ms`, `5s`, `2m`, `24h`. */
std::optional<Duration> parseDuration(std::string_view);
std::string formatDuration(Duration);

/** Reads typed settings from an INI document and collects all faults instead of stopping at the first one. */
class SettingsReader {
public:
    /** Fails with SettingsInvalid when the text is not an INI document. */
    static boost::leaf::result<SettingsReader> fromText(std::string_view text);
    /** Fails with SettingsInvalid when the file cannot be read. */
    static boost::leaf::result<SettingsReader> fromFile(const std::string& path);

    SettingsReader(SettingsReader&&) noexcept;
    SettingsReader& operator=(SettingsReader&&) noexcept;
    ~SettingsReader();

    /** A missing or empty value without a fallback is a fault. */
    std::string text(std::string_view section, std::string_view key, std::optional<std::string> fallback = {});
    int64_t integer(std::string_view section, std::string_view key, int64_t fallback, int64_t minimum, int64_t maximum);
    double number(std::string_view section, std::string_view key, double fallback, double minimum, double maximum);
    bool boolean(std::string_view section, std::string_view key, bool fallback);
    Duration duration(std::string_view section, std::string_view key, Duration fallback, Duration minimum, Duration maximum);
    Endpoint endpoint(std::string_view section, std::string_view key, std::optional<Endpoint> fallback = {});
    /** Comma-separated endpoints; an empty list is allowed. */
    std::vector<Endpoint> endpoints(std::string_view section, std::string_view key);
    std::string oneOf(std::string_view section, std::string_view key, std::string_view fallback, const std::vector<std::string>& allowed);

    /** Adds a fault that the caller has found, such as settings that contradict each other. */
    void addFault(SettingFault);

    /** The names of all settings that were read, such as `listen.callers`, in alphabetical order. */
    std::vector<std::string> declaredSettings() const;

    /** All faults so far, and one for each key in the document that was not read. Call it after all reads. */
    std::vector<SettingFault> faults() const;

private:
    struct Document;
    explicit SettingsReader(std::unique_ptr<Document>);

    /** Returns the text of a setting without surrounding blanks, or nothing when it is missing, and marks it as declared. */
    std::optional<std::string> readRaw(std::string_view section, std::string_view key);

    std::unique_ptr<Document> m_document;
};

} // namespace chestnut
