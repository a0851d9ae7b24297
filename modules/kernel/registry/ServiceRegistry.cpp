#include "kernel/registry/ServiceRegistry.h"

namespace chestnut {

void ServiceRegistry::add(std::unique_ptr<Service> service)
{
    assert(service);
    assert(!findService(service->name()));
    m_services.push_back(std::move(service));
}

Service* ServiceRegistry::findService(std::string_view name) const
{
    for (const auto& service : m_services) {
        if (service->name() == name)
            return service.get();
    }
    return nullptr;
}

std::vector<std::string_view> ServiceRegistry::serviceNames() const
{
    std::vector<std::string_view> names;
    names.reserve(m_services.size());
    for (const auto& service : m_services)
        names.push_back(service->name());
    return names;
}

void ServiceRegistry::start()
{
    for (const auto& service : m_services)
        service->start();
}

asio::awaitable<void> ServiceRegistry::stop()
{
    for (auto service = m_services.rbegin(); service != m_services.rend(); ++service)
        co_await (*service)->stop();
}

} // namespace chestnut
