/** Shows the fleet-wide defaults. */
#pragma once

#include "operators/commands/Command.h"

namespace boragetrack::operators::commands {

/** Performs "default show". */
class DefaultShowCommand : public Command
{
public:
    std::string name() const override { return "default show"; }
    std::string summary() const override { return "shows the fleet-wide defaults"; }
    void addOptions(boost::program_options::options_description &options) const override;
    CommandResult run(CommandContext &context,
                      const boost::program_options::variables_map &arguments) const override;
};

} // namespace boragetrack::operators::commands
