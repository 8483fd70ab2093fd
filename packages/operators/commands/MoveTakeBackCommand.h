/** Takes a move back. */
#pragma once

#include "operators/commands/Command.h"

namespace boragetrack::operators::commands {

/** Performs "move take-back". */
class MoveTakeBackCommand : public Command
{
public:
    std::string name() const override { return "move take-back"; }
    std::string summary() const override { return "takes a running or done move back"; }
    void addOptions(boost::program_options::options_description &options) const override;
    std::vector<std::string> positionalArguments() const override { return {"move"}; }
    CommandResult run(CommandContext &context,
                      const boost::program_options::variables_map &arguments) const override;
};

} // namespace boragetrack::operators::commands
