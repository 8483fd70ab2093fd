/**
    Module operators: boragetrack, the operators' command line.

    Each command is a class behind one interface. Changes go to the platform by compare-and-swap,
    questions about the fleet go to nodes.

    Dependencies: core, control, transport, Boost.Program_options.
*/
#pragma once

#include "operators/commands/CommandTable.h"
#include "operators/fleet/FleetClient.h"
