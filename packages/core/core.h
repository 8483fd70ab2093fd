/**
    Module core: types and utilities that all other packages use.

    It provides identifiers, validation findings, clocks and timers, counters, the event log,
    hashing, the handling of failed assertions of Boost, and queues and shared values for threads.
    It contains no control or traffic decisions. Its only input and output are logging, reading text
    files and waiting for signals.

    Dependencies: absl::Status, Boost.Assert, glog, nlohmann-json, valijson, xxhash.
*/
#pragma once

#include "core/concurrency/EventQueue.h"
#include "core/concurrency/Published.h"
#include "core/counters/CounterRegistry.h"
#include "core/events/EventLog.h"
#include "core/findings/FindingList.h"
#include "core/hashing/StableHash.h"
#include "core/identity/NodeId.h"
#include "core/timing/TimerService.h"
