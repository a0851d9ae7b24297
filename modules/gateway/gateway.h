#pragma once

/** @module gateway
    Routes opaque requests by host and path to engines and backend servers that are listed in a store, without tickets. */

#include "gateway/blocks/BlockCodec.h"
#include "gateway/blocks/BlockDirectory.h"
#include "gateway/members/DaemonDirectory.h"
#include "gateway/members/LoadExchange.h"
#include "gateway/members/LoadMessage.h"
#include "gateway/replicas/LoadTracker.h"
#include "gateway/replicas/ReplicaDirectory.h"
#include "gateway/replicas/SpeedTracker.h"
#include "gateway/requests/GenerationRelay.h"
#include "gateway/requests/PlainRelay.h"
#include "gateway/requests/ReplicaClient.h"
#include "gateway/requests/ReplicaNotice.h"
#include "gateway/requests/SlotQueue.h"
#include "gateway/requests/UrgentWork.h"
#include "gateway/roles/RoleManager.h"
#include "gateway/service/Gateway.h"
#include "gateway/service/RoutingSource.h"
#include "gateway/store/StoreMirror.h"
#include "gateway/store/VersionedStore.h"
#include "gateway/tasks/TaskPlatform.h"
