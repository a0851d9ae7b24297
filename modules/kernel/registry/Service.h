#pragma once

#include <boost/asio/awaitable.hpp>
#include <string_view>

namespace chestnut {

namespace asio = boost::asio;

/** A long-lived part of the daemon, found by name in the ServiceRegistry. */
class Service {
public:
    Service() = default;
    Service(const Service&) = delete;
    Service& operator=(const Service&) = delete;
    virtual ~Service() = default;

    /** Unique within one ServiceRegistry. */
    virtual std::string_view name() const = 0;

    /** Called once, after all services are registered, in the order of registration. Must not block. */
    virtual void start() { }

    /** Finishes or hands over the work in progress. Called once, in the reverse order of registration. */
    virtual asio::awaitable<void> stop() { co_return; }
};

} // namespace chestnut
