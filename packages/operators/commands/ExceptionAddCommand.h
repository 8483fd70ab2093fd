/** Adds an exception. */
#pragma once

#include "operators/commands/Command.h"

namespace boragetrack::operators::commands {

/** Performs "exception add". */
class ExceptionAddCommand : public Command
{
public:
    std::string name() const override { return "exception add"; }
    std::string summary() const override { return "adds an exception from the defaults"; }
    void addOptions(boost::program_options::options_description &options) const override;
    std::vector<std::string> positionalArguments() const override
    {
        return {"id", "setting", "value"};
    }
    CommandResult run(CommandContext &context,
                      const boost::program_options::variables_map &arguments) const override;
};

} // namespace boragetrack::operators::commands
