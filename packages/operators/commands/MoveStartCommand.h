/** Starts a move. */
#pragma once

#include "operators/commands/Command.h"

namespace boragetrack::operators::commands {

/** Performs "move start". */
class MoveStartCommand : public Command
{
public:
    std::string name() const override { return "move start"; }
    std::string summary() const override { return "starts moving a service to another version"; }
    void addOptions(boost::program_options::options_description &options) const override;
    std::vector<std::string> positionalArguments() const override { return {"service"}; }
    CommandResult run(CommandContext &context,
                      const boost::program_options::variables_map &arguments) const override;
};

} // namespace boragetrack::operators::commands
