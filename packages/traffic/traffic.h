/**
    Module traffic: what happens to a call.

    It decides where a call goes, whether an upstream may take it now, whether it may be tried again
    and whether it ran before. Time, randomness and load are handed in; nothing here performs input
    or output or knows how messages are encoded.

    Dependencies: core, control (intent snapshots, member records, shares of moves).
*/
#pragma once

#include "traffic/admission/AdmissionQueue.h"
#include "traffic/deduplication/ClaimRegister.h"
#include "traffic/deduplication/ReplayTable.h"
#include "traffic/retry/CallPlan.h"
#include "traffic/routing/RoutingSnapshot.h"
