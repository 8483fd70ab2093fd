/**
    Module emulator: days of load played through the decisions of nodes in emulated time.

    It models callers, upstreams and trips, and uses the classes of the module traffic for all that
    nodes decide: placing, queueing, refusing and repeating. Tests play a load with it and check
   what callers get; `scripts/bench load` compares policies.

    Dependencies: core, control (intent snapshots), traffic.
*/
#pragma once

#include "emulator/plan/LoadPlanReader.h"
#include "emulator/policies/BaselinePolicies.h"
#include "emulator/policies/StandardPolicies.h"
#include "emulator/policies/TwoChoicesPolicies.h"
#include "emulator/results/ResultsWriter.h"
#include "emulator/simulation/LoadSimulation.h"
