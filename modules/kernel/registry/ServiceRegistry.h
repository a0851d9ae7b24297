#pragma once

#include "kernel/registry/Service.h"

#include <cassert>
#include <memory>
#include <utility>
#include <vector>

namespace chestnut {

/** Owns the services of one daemon, starts them in the order of registration and stops them in reverse order. */
class ServiceRegistry {
public:
    /** Constructs and registers a service. Asserts that no other service has its name. */
    template <typename T, typename... Arguments>
    T& emplace(Arguments&&... arguments)
    {
        auto service = std::make_unique<T>(std::forward<Arguments>(arguments)...);
        T& reference = *service;
        add(std::move(service));
        return reference;
    }

    void add(std::unique_ptr<Service>);

    /** Returns nullptr when no service has this name and type. */
    template <typename T>
    T* find(std::string_view name) const
    {
        return dynamic_cast<T*>(findService(name));
    }

    /** Like find(), but asserts that the service exists. */
    template <typename T>
    T& require(std::string_view name) const
    {
        T* service = find<T>(name);
        assert(service);
        return *service;
    }

    std::vector<std::string_view> serviceNames() const;

    void start();
    asio::awaitable<void> stop();

private:
    Service* findService(std::string_view name) const;

    std::vector<std::unique_ptr<Service>> m_services;
};

} // namespace chestnut
