/**
    Module operators: boragetrack, the command line for operators.

    Each command is a class that implements one interface. Changes are written to the platform with
    compare-and-swap; the state of the fleet is read from the nodes.

    Dependencies: core, control, transport, Boost.Program_options, libsodium.
*/
#pragma once

#include "operators/commands/CommandTable.h"
#include "operators/fleet/FleetClient.h"
