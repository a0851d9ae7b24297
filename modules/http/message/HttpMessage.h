#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chestnut {

/** Header fields in their order; names are case-insensitive. */
class HttpHeaders {
public:
    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<std::pair<std::string, std::string>> fields)
        : m_fields(fields)
    {
    }

    /** Returns the first value, or an empty view. */
    std::string_view value(std::string_view name) const;
    bool contains(std::string_view name) const;
    /** Number of fields of this name. */
    size_t count(std::string_view name) const;
    /** Replaces all fields of this name, or appends one. */
    void set(std::string_view name, std::string_view value);
    /** Appends a field, also beside others of this name. */
    void append(std::string_view name, std::string_view value) { m_fields.emplace_back(name, value); }
    /** Removes all fields of this name. */
    void remove(std::string_view name);
    const std::vector<std::pair<std::string, std::string>>& fields() const { return m_fields; }

    bool operator==(const HttpHeaders&) const = default;

private:
    std::vector<std::pair<std::string, std::string>> m_fields;
};

struct HttpRequest {
    std::string method = "GET";
    std::string target = "/"; /**< path and query */
    HttpHeaders headers;
    std::string body;

    /** The target without its query. */
    std::string_view path() const;
    /** Returns the decoded value of a query parameter, or an empty string. */
    std::string queryValue(std::string_view name) const;
};

struct HttpResponse {
    int status = 200;
    HttpHeaders headers;
    std::string body;
};

} // namespace chestnut
