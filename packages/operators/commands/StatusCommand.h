/** Shows which revision is in force where. */
#pragma once

#include "operators/commands/Command.h"

namespace boragetrack::operators::commands {

/** Performs "status". */
class StatusCommand : public Command
{
public:
    std::string name() const override { return "status"; }
    std::string summary() const override { return "shows which revision is in force where"; }
    void addOptions(boost::program_options::options_description &options) const override;
    CommandResult run(CommandContext &context,
                      const boost::program_options::variables_map &arguments) const override;
};

} // namespace boragetrack::operators::commands
