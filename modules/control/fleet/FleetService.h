#pragma once

#include "base/ids/StrongId.h"
#include "decisions/tickets/Configuration.h"
#include "kernel/registry/Service.h"

#include <functional>

namespace chestnut {

/** Tells the request path which replicas may get new work. Engines and backend servers are both replicas; the replica id
    of an engine is its engine id. */
class FleetService : public Service {
public:
    static constexpr std::string_view serviceName = "fleet";
    std::string_view name() const final { return serviceName; }

    /** False for unknown replicas and for those that leave, drain or change. */
    virtual bool acceptsNewWork(const ReplicaId&) const = 0;

    /** Share of its usual load that a replica may get, from 0 to 1. Grows after a replica has returned. */
    virtual double slowStartShare(const ReplicaId&) const = 0;

    /** The role that the engine was last known to run; the configured one until it was observed. */
    virtual EngineRole roleOf(const EngineId&) const = 0;

    /** Calls back when the answer of acceptsNewWork or roleOf has changed for some replica. */
    virtual void onChange(std::function<void()>) = 0;
};

} // namespace chestnut
