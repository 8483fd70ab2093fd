/**
    Module control: decisions about the intent, the members and moves.

    The module performs no input or output, except for the interfaces of the store clients. Typed
    events come in, typed results go out; time, randomness and identity are injected. The daemon,
    the scenario runner and the unit tests use the same objects.

    Dependencies: core, nlohmann-json, RapidJSON, absl::Status.
*/
#pragma once

#include "control/distribution/ControlPlane.h"
#include "control/intent/IntentParser.h"
#include "control/intent/IntentSnapshot.h"
#include "control/membership/MemberTable.h"
#include "control/moves/MoveTracker.h"
#include "control/store/IntentEditor.h"
