/**
    Module emulator: discrete-event simulation of load on a deployment.

    Callers, upstreams and network delays are models; routing, admission and retries are decided by
    the classes of the module traffic, the same that the daemon uses. Tests simulate load plans and
    check the results of callers; `scripts/bench load` compares policies.

    Dependencies: core, control (intent snapshots), traffic.
*/
#pragma once

#include "emulator/plan/LoadPlanReader.h"
#include "emulator/policies/BaselinePolicies.h"
#include "emulator/policies/StandardPolicies.h"
#include "emulator/policies/TwoChoicesPolicies.h"
#include "emulator/results/ResultsWriter.h"
#include "emulator/simulation/LoadSimulation.h"
