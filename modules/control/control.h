#pragma once

/** @module control
    Manages tickets, the configuration in force, leases, orders to engines, role changes and drains. All agreed or
    persistent state is stored in the key-value service. */

#include "control/cleanup/RecordCleaner.h"
#include "control/configuration/StoredConfigurationService.h"
#include "control/fleet/ReplicaFleet.h"
#include "control/leases/LeaseService.h"
#include "control/orders/OrderService.h"
#include "control/roles/RoleController.h"
#include "control/status/FleetStatusService.h"
#include "control/tickets/ConfigurationCodec.h"
#include "control/tickets/TicketService.h"
