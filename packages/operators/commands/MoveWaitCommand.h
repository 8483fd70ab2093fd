/** Waits for the end of a move. */
#pragma once

#include "operators/commands/Command.h"

namespace boragetrack::operators::commands {

/** Performs "move wait". */
class MoveWaitCommand : public Command
{
public:
    std::string name() const override { return "move wait"; }
    std::string summary() const override { return "waits until a move is done or taken back"; }
    void addOptions(boost::program_options::options_description &options) const override;
    std::vector<std::string> positionalArguments() const override { return {"move"}; }
    CommandResult run(CommandContext &context,
                      const boost::program_options::variables_map &arguments) const override;
};

} // namespace boragetrack::operators::commands
