/** Shows all moves. */
#pragma once

#include "operators/commands/Command.h"

namespace boragetrack::operators::commands {

/** Performs "move status". */
class MoveStatusCommand : public Command
{
public:
    std::string name() const override { return "move status"; }
    std::string summary() const override { return "shows all moves with their present shares"; }
    void addOptions(boost::program_options::options_description &options) const override;
    CommandResult run(CommandContext &context,
                      const boost::program_options::variables_map &arguments) const override;
};

} // namespace boragetrack::operators::commands
