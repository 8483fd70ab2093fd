/**
    Module daemon: boragetrackd, the node beside an upstream.

    It reads settings, joins the other modules and owns their threads: one control thread for
   control state, the link thread and the HTTP servers' threads for traffic, and two that wait for
   the platform.

    Dependencies: core, control, traffic, transport, Boost.Program_options.
*/
#pragma once

#include "daemon/Node.h"
#include "daemon/settings/SettingsReader.h"
