#pragma once

/** @module kernel
    Owns the parts that every daemon has: the registry in which services find each other by name, the timer service,
    checked settings, the structured log and the metrics. */

#include "kernel/logging/Log.h"
#include "kernel/metrics/Metrics.h"
#include "kernel/registry/Service.h"
#include "kernel/registry/ServiceRegistry.h"
#include "kernel/settings/SettingsReader.h"
#include "kernel/timers/TimerService.h"
