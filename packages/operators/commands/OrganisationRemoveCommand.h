/** Command that removes an organisation with all its keys. */
#pragma once

#include "operators/commands/Command.h"

namespace boragetrack::operators::commands {

/** Implements "organisation remove". Without any organisation left, requests still need a key. */
class OrganisationRemoveCommand : public Command
{
public:
    std::string name() const override { return "organisation remove"; }
    std::string summary() const override { return "removes an organisation and its keys"; }
    void addOptions(boost::program_options::options_description &options) const override;
    std::vector<std::string> positionalArguments() const override { return {"name"}; }
    CommandResult run(CommandContext &context,
                      const boost::program_options::variables_map &arguments) const override;
};

} // namespace boragetrack::operators::commands
