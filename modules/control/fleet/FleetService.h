#pragma once

#include "base/ids/StrongId.h"
#include "decisions/tickets/Configuration.h"
#include "kernel/registry/Service.h"

#include <functional>

namespace chestnut {

/** Determines which replicas may get new work from the request path. Engines and backend servers are both replicas; the
    replica id of an engine is its engine id. */
class FleetService : public Service {
public:
    static constexpr std::string_view serviceName = "fleet";
    std::string_view name() const final { return serviceName; }

    /** False for unknown replicas and for those that are leaving, draining or changing. */
    virtual bool acceptsNewWork(const ReplicaId&) const = 0;

    /** Fraction of its usual load that a replica may get, from 0 to 1. It ramps up after the replica has returned. */
    virtual double slowStartShare(const ReplicaId&) const = 0;

    /** The last observed role of the engine, or the configured one before any observation. */
    virtual EngineRole roleOf(const EngineId&) const = 0;

    /** Registers a callback for changes of the result of acceptsNewWork() or roleOf() for any replica. */
    virtual void onChange(std::function<void()>) = 0;
};

} // namespace chestnut
