/**
    Module standins: small programs that take the place of the platform, upstreams and callers.

    They serve tests, the demo and the bench, speak the same protocols as the real ones, cause
   faults on command and count every request that they run. They are never installed.

    Dependencies: core, transport, Boost.Program_options.
*/
#pragma once

#include "standins/platform/PlatformHandler.h"
#include "standins/upstream/UpstreamHandler.h"
