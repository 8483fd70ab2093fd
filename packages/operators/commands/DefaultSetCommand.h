/** Changes a fleet-wide default. */
#pragma once

#include "operators/commands/Command.h"

namespace boragetrack::operators::commands {

/** Performs "default set". */
class DefaultSetCommand : public Command
{
public:
    std::string name() const override { return "default set"; }
    std::string summary() const override { return "changes a fleet-wide default"; }
    void addOptions(boost::program_options::options_description &options) const override;
    std::vector<std::string> positionalArguments() const override { return {"setting", "value"}; }
    CommandResult run(CommandContext &context,
                      const boost::program_options::variables_map &arguments) const override;
};

} // namespace boragetrack::operators::commands
