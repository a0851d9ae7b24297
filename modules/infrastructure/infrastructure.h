#pragma once

/** @module infrastructure
    Owns the rate limit on calls to the key-value service, and the clients of the platform's services: the key-value store
    and the VM list over Consul's HTTP API, and the weight store. */

#include "infrastructure/client/PlatformClient.h"
#include "infrastructure/client/TokenBucket.h"
#include "infrastructure/keyvalue/ConsulKeyValueStore.h"
#include "infrastructure/keyvalue/KeyValueStore.h"
#include "infrastructure/vmlist/ConsulVmList.h"
#include "infrastructure/vmlist/VmList.h"
#include "infrastructure/weightstore/HttpWeightStore.h"
#include "infrastructure/weightstore/WeightStore.h"
