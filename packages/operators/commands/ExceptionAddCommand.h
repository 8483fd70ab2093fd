/** Command that overrides a setting for a service, a route or a data centre. */
#pragma once

#include "operators/commands/Command.h"

namespace boragetrack::operators::commands {

/** Implements "exception add". The editor validates the scope and the value. */
class ExceptionAddCommand : public Command
{
public:
    std::string name() const override { return "exception add"; }
    std::string summary() const override { return "adds an exception to the defaults"; }
    void addOptions(boost::program_options::options_description &options) const override;
    std::vector<std::string> positionalArguments() const override
    {
        return {"id", "setting", "value"};
    }
    CommandResult run(CommandContext &context,
                      const boost::program_options::variables_map &arguments) const override;
};

} // namespace boragetrack::operators::commands
