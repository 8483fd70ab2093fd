/** Command that shows the state of usage reports. */
#pragma once

#include "operators/commands/Command.h"

namespace boragetrack::operators::commands {

/** Implements "usage": prints the holder of the duty with its token, the last reported window, and
    the windows that wait. */
class UsageCommand : public Command
{
public:
    std::string name() const override { return "usage"; }
    std::string summary() const override { return "shows who sends usage reports, and how far"; }
    void addOptions(boost::program_options::options_description &options) const override;
    CommandResult run(CommandContext &context,
                      const boost::program_options::variables_map &arguments) const override;
};

} // namespace boragetrack::operators::commands
