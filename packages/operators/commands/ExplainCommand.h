/** Explains a setting's value. */
#pragma once

#include "operators/commands/Command.h"

namespace boragetrack::operators::commands {

/** Performs "explain". */
class ExplainCommand : public Command
{
public:
    std::string name() const override { return "explain"; }
    std::string summary() const override { return "tells why a setting has its value on a route"; }
    void addOptions(boost::program_options::options_description &options) const override;
    std::vector<std::string> positionalArguments() const override { return {"route", "setting"}; }
    CommandResult run(CommandContext &context,
                      const boost::program_options::variables_map &arguments) const override;
};

} // namespace boragetrack::operators::commands
