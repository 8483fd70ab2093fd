/**
    Module daemon: boragetrackd, the node that runs on the VM of an upstream.

    It reads the settings, connects the other modules and owns their threads: the control thread for
    control state, the traffic thread, the threads of the operators' HTTP server and, with the
    native interface, two threads that wait for the platform's store.

    Dependencies: core, control, traffic, transport, Boost.Program_options.
*/
#pragma once

#include "daemon/Node.h"
#include "daemon/settings/SettingsReader.h"
