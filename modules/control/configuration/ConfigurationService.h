#pragma once

#include "base/errors/Result.h"
#include "decisions/tickets/Configuration.h"
#include "kernel/registry/Service.h"

#include <functional>
#include <memory>

namespace chestnut {

/** Holds the newest accepted configuration that this daemon knows. Its revision only grows. */
class ConfigurationService : public Service {
public:
    static constexpr std::string_view serviceName = "configuration";
    std::string_view name() const final { return serviceName; }

    /** The configuration in force, or nullptr before the first one is known. */
    virtual std::shared_ptr<const Configuration> current() const = 0;

    /** False until the daemon may serve: it has a configuration that is as new as any it heard of at its start. */
    virtual bool isReady() const { return current() != nullptr; }

    /** Calls back after each newer configuration has come into force. */
    virtual void onChange(std::function<void(std::shared_ptr<const Configuration>)>) = 0;
};

} // namespace chestnut
