/** Holds that every module's heading header stands on its own. */
#include "control/control.h"
#include "core/core.h"
#include "daemon/daemon.h"
#include "operators/operators.h"
#include "standins/standins.h"
#include "traffic/traffic.h"
#include "transport/transport.h"

#include <gtest/gtest.h>

TEST(ModuleHeaders, nameTypesOfTheirModules)
{
    EXPECT_FALSE(boragetrack::operators::commands::CommandTable().help().empty());
}
