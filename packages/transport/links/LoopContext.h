/** Access to the traffic thread's event loop. */
#pragma once

#include <kj/async-io.h>
#include <kj/timer.h>

namespace boragetrack::transport::links {

/** Groups the event loop's network and timer for the components that use it. */
struct LoopContext
{
    kj::Network &network;
    kj::Timer &timer;
    /** Allows blocking waits during startup; not used later. */
    kj::WaitScope &scope;
};

} // namespace boragetrack::transport::links
