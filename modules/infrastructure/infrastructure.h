#pragma once

/** @module infrastructure
    Owns the call budget for the key-value service. Adapters for the services that the platform provides: the key-value
    service and VM list over Consul's HTTP API, and the weight store. */

#include "infrastructure/client/PlatformClient.h"
#include "infrastructure/client/TokenBucket.h"
#include "infrastructure/keyvalue/ConsulKeyValueStore.h"
#include "infrastructure/keyvalue/KeyValueStore.h"
#include "infrastructure/vmlist/ConsulVmList.h"
#include "infrastructure/vmlist/VmList.h"
#include "infrastructure/weightstore/HttpWeightStore.h"
#include "infrastructure/weightstore/WeightStore.h"
