/**
    Module control: what the system decides about intent, members and moves.

    Everything in this module but the HTTP store client's interface is a pure decision: typed events
    come in, typed results go out, and time, randomness and identity are handed in. The daemon, the
    scenario runner and the tests drive the same objects.

    Dependencies: core, nlohmann-json, RapidJSON, absl::Status.
*/
#pragma once

#include "control/distribution/ControlPlane.h"
#include "control/intent/IntentParser.h"
#include "control/intent/IntentSnapshot.h"
#include "control/membership/MemberTable.h"
#include "control/moves/MoveTracker.h"
#include "control/store/IntentEditor.h"
