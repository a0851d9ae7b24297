#pragma once

/** @module platform
    Owns the call budget for the key-value service. Adapters for the services that the platform provides: the key-value
    service and VM list over Consul's HTTP API, and the weight store. */

#include "platform/client/PlatformClient.h"
#include "platform/client/TokenBucket.h"
#include "platform/keyvalue/ConsulKeyValueStore.h"
#include "platform/keyvalue/KeyValueStore.h"
#include "platform/vmlist/ConsulVmList.h"
#include "platform/vmlist/VmList.h"
#include "platform/weightstore/HttpWeightStore.h"
#include "platform/weightstore/WeightStore.h"
