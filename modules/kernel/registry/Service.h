#pragma once

#include <boost/asio/awaitable.hpp>
#include <string_view>

namespace chestnut {

namespace asio = boost::asio;

/** A long-lived component of the daemon, registered by name in the ServiceRegistry. */
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

    /** Completes the work in progress or hands it over. Called once, in the reverse order of registration. */
    virtual asio::awaitable<void> stop() { co_return; }
};

} // namespace chestnut
