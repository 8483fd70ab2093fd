/** Change of the intent that "datacentre out" and "datacentre back" have in common. */
#pragma once

#include "operators/commands/CommandContext.h"

namespace boragetrack::operators::commands {

/** Sets whether a data centre is out of service, and records the reason in its entry.
    @param arguments contain "name" and "reason"
    @param isOut whether its upstreams are taken out of service
    @returns the result of CommandContext::applyChange(); Failed for an unknown data centre */
CommandResult setDataCentreOut(CommandContext &context,
                               const boost::program_options::variables_map &arguments, bool isOut);

} // namespace boragetrack::operators::commands
