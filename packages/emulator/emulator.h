/**
    Module emulator: discrete-event simulations of load and of restarts on a deployment.

    Load: callers, upstreams and network delays are models; routing, admission and retries are
    decided by the classes of the module traffic, the same that the daemon uses. Tests simulate load
    plans and check the results of callers; `scripts/bench load` compares policies.

    Restarts: the store and the network are models; the control state of each process is that of the
    daemon. Tests play random orders of kills, outages, cuts and changes and check what must hold
    across restarts; `build/bench-restarts` plays many more.

    Dependencies: core, control, traffic, daemon (the control state of a process).
*/
#pragma once

#include "emulator/plan/LoadPlanReader.h"
#include "emulator/policies/BaselinePolicies.h"
#include "emulator/policies/NestedFirstPolicies.h"
#include "emulator/policies/StandardPolicies.h"
#include "emulator/policies/TwoChoicesPolicies.h"
#include "emulator/policies/UrgencyPolicies.h"
#include "emulator/restarts/PlanGenerator.h"
#include "emulator/restarts/PlanShrinker.h"
#include "emulator/restarts/RestartSimulation.h"
#include "emulator/results/ResultsWriter.h"
#include "emulator/simulation/LoadSimulation.h"
