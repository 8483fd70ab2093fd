/** Lists the exceptions. */
#pragma once

#include "operators/commands/Command.h"

namespace boragetrack::operators::commands {

/** Performs "exception list". */
class ExceptionListCommand : public Command
{
public:
    std::string name() const override { return "exception list"; }
    std::string summary() const override { return "lists the exceptions with their reasons"; }
    void addOptions(boost::program_options::options_description &options) const override;
    CommandResult run(CommandContext &context,
                      const boost::program_options::variables_map &arguments) const override;
};

} // namespace boragetrack::operators::commands
