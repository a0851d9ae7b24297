#pragma once

#include "decisions/tickets/Configuration.h"

namespace chestnut {

/** Difference between two configurations. */
struct ConfigurationDelta {
    Revision from = 0;
    Configuration changed; /**< the newer configuration without the objects and tickets that the older one has too */
    std::vector<std::string> removedObjects; /**< object keys of the older configuration that the newer one does not have */
    std::vector<std::string> prunedRemovals; /**< keys of removedBy likewise */

    bool operator==(const ConfigurationDelta&) const = default;
};

ConfigurationDelta deltaBetween(const Configuration& older, const Configuration& newer);

/** Applies a delta to the configuration that it starts from. */
Configuration withDelta(Configuration, const ConfigurationDelta&);

} // namespace chestnut
