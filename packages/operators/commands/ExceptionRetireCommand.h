/** Retires an exception. */
#pragma once

#include "operators/commands/Command.h"

namespace boragetrack::operators::commands {

/** Performs "exception retire". */
class ExceptionRetireCommand : public Command
{
public:
    std::string name() const override { return "exception retire"; }
    std::string summary() const override { return "retires an exception"; }
    void addOptions(boost::program_options::options_description &options) const override;
    std::vector<std::string> positionalArguments() const override { return {"id"}; }
    CommandResult run(CommandContext &context,
                      const boost::program_options::variables_map &arguments) const override;
};

} // namespace boragetrack::operators::commands
