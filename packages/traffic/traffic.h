/**
    The traffic module decides what happens to each call: whether its caller may make it, which
    endpoint receives it, whether an upstream admits it now, whether it may be retried, and whether
   a request with the same idempotency key already ran.

    Callers pass in the time, the source of randomness and the load; nothing here performs I/O or
    depends on the encoding of messages.

    Dependencies: core, control (intent snapshots, member records, version shares of moves).
*/
#pragma once

#include "traffic/access/KeyAccess.h"
#include "traffic/admission/AdmissionQueue.h"
#include "traffic/deduplication/ClaimRegister.h"
#include "traffic/deduplication/ReplayTable.h"
#include "traffic/retry/CallPlan.h"
#include "traffic/routing/RoutingSnapshot.h"
