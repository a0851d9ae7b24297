#pragma once

#include "base/time/TimePoint.h"
#include "infrastructure/vmlist/VmList.h"

#include <deque>
#include <nlohmann/json.hpp>
#include <vector>

namespace chestnut::standin {

/** The VM list with its history, so that responses can lag behind. */
class NodeList {
public:
    void set(std::vector<Vm>, TimePoint now);

    /** The list as it was at `now - lag`. */
    std::vector<Vm> at(TimePoint now, Duration lag) const;

private:
    struct Version {
        TimePoint since;
        std::vector<Vm> vms;
    };

    std::deque<Version> m_versions;
};

/** Parses `[{"id":"vm1","address":"127.0.0.1","zone":"a","state":"live"}]`; throws nlohmann::json::exception. */
std::vector<Vm> parseNodes(const nlohmann::json&);

/** The list in the response format of Consul's /v1/catalog/nodes. */
nlohmann::json catalogOf(const std::vector<Vm>&);

} // namespace chestnut::standin
