#include "kernel/registry/Kernel.h"

namespace chestnut {

void Kernel::add(std::unique_ptr<Service> service)
{
    assert(service);
    assert(!findService(service->name()));
    m_services.push_back(std::move(service));
}

Service* Kernel::findService(std::string_view name) const
{
    for (const auto& service : m_services) {
        if (service->name() == name)
            return service.get();
    }
    return nullptr;
}

std::vector<std::string_view> Kernel::serviceNames() const
{
    std::vector<std::string_view> names;
    names.reserve(m_services.size());
    for (const auto& service : m_services)
        names.push_back(service->name());
    return names;
}

void Kernel::start()
{
    for (const auto& service : m_services)
        service->start();
}

asio::awaitable<void> Kernel::stop()
{
    for (auto service = m_services.rbegin(); service != m_services.rend(); ++service)
        co_await (*service)->stop();
}

} // namespace chestnut
