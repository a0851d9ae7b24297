#pragma once

#include "base/errors/Result.h"
#include "decisions/tickets/Configuration.h"
#include "kernel/registry/Service.h"

#include <functional>
#include <memory>

namespace chestnut {

/** Provides the newest accepted configuration that this daemon has received. Its revision only grows. */
class ConfigurationService : public Service {
public:
    static constexpr std::string_view serviceName = "configuration";
    std::string_view name() const final { return serviceName; }

    /** The configuration in force, or nullptr before the first one was received. */
    virtual std::shared_ptr<const Configuration> current() const = 0;

    /** Whether the daemon may serve: it has had a configuration at least as new as any announced at its start. */
    virtual bool isReady() const { return current() != nullptr; }

    /** Registers a callback for each newer configuration that has come into force. */
    virtual void onChange(std::function<void(std::shared_ptr<const Configuration>)>) = 0;
};

} // namespace chestnut
