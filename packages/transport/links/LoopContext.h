/** What lives on the traffic thread's event loop. */
#pragma once

#include <kj/async-io.h>
#include <kj/timer.h>

namespace boragetrack::transport::links {

/** Joins the loop's network and timer for those that work on it. */
struct LoopContext
{
    kj::Network &network;
    kj::Timer &timer;
    /** For waits while the loop starts; never used later. */
    kj::WaitScope &scope;
};

} // namespace boragetrack::transport::links
