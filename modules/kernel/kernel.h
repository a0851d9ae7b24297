#pragma once

/** @module kernel
    Owns the services that every daemon has: the service registry, timers, validated settings, background tasks, the
    structured log and the metrics. */

#include "kernel/logging/Log.h"
#include "kernel/metrics/Metrics.h"
#include "kernel/registry/Service.h"
#include "kernel/registry/ServiceRegistry.h"
#include "kernel/settings/SettingsReader.h"
#include "kernel/tasks/BackgroundTask.h"
#include "kernel/tasks/EventLoop.h"
#include "kernel/tasks/ScopedFlag.h"
#include "kernel/timers/TimerService.h"
