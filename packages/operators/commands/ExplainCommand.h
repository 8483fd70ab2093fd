/** Command that shows the origin of the value of a setting. */
#pragma once

#include "operators/commands/Command.h"

namespace boragetrack::operators::commands {

/** Implements "explain": resolves the setting as a node of the given data centre does. */
class ExplainCommand : public Command
{
public:
    std::string name() const override { return "explain"; }
    std::string summary() const override
    {
        return "explains why a setting has its value on a route";
    }
    void addOptions(boost::program_options::options_description &options) const override;
    std::vector<std::string> positionalArguments() const override { return {"route", "setting"}; }
    CommandResult run(CommandContext &context,
                      const boost::program_options::variables_map &arguments) const override;
};

} // namespace boragetrack::operators::commands
