/** Command that validates an intent file. */
#pragma once

#include "operators/commands/Command.h"

namespace boragetrack::operators::commands {

/** Implements "check": lists every error of the file. Accesses neither the platform nor nodes. */
class CheckCommand : public Command
{
public:
    std::string name() const override { return "check"; }
    std::string summary() const override { return "checks an intent file without storing it"; }
    void addOptions(boost::program_options::options_description &options) const override;
    std::vector<std::string> positionalArguments() const override { return {"file"}; }
    bool isOffline() const override { return true; }
    CommandResult run(CommandContext &context,
                      const boost::program_options::variables_map &arguments) const override;
};

} // namespace boragetrack::operators::commands
