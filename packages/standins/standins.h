/**
    Module standins: programs that simulate the platform, upstreams and callers.

    Tests, the demo and the benchmarks use them. They implement the protocols of the programs that
    they replace, inject faults on request and count or record every request. They are never
    installed.

    Dependencies: core, control, traffic, transport, Boost.Program_options.
*/
#pragma once

#include "standins/platform/PlatformHandler.h"
#include "standins/upstream/UpstreamHandler.h"
