/** Command that adds an organisation. */
#pragma once

#include "operators/commands/Command.h"

namespace boragetrack::operators::commands {

/** Implements "organisation add". From the first organisation on, requests need a key. */
class OrganisationAddCommand : public Command
{
public:
    std::string name() const override { return "organisation add"; }
    std::string summary() const override { return "adds an organisation without keys"; }
    void addOptions(boost::program_options::options_description &options) const override;
    std::vector<std::string> positionalArguments() const override { return {"name"}; }
    CommandResult run(CommandContext &context,
                      const boost::program_options::variables_map &arguments) const override;
};

} // namespace boragetrack::operators::commands
