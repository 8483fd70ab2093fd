/**
    Module core: the vocabulary that every other package uses.

    It holds identities, findings, time, counters, numbered log events, hashing and the hand-over
    of values between threads. It decides nothing and performs no input or output besides logging.

    Dependencies: absl::Status, glog, nlohmann-json, valijson, xxhash.
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
