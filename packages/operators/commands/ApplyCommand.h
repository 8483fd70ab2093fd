/** Stores a whole intent file. */
#pragma once

#include "operators/commands/Command.h"

namespace boragetrack::operators::commands {

/** Performs "apply". */
class ApplyCommand : public Command
{
public:
    std::string name() const override { return "apply"; }
    std::string summary() const override { return "replaces the whole intent by a file's"; }
    void addOptions(boost::program_options::options_description &options) const override;
    std::vector<std::string> positionalArguments() const override { return {"file"}; }
    CommandResult run(CommandContext &context,
                      const boost::program_options::variables_map &arguments) const override;
};

} // namespace boragetrack::operators::commands
