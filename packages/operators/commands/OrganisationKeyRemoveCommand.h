/** Command that removes a key of an organisation. */
#pragma once

#include "operators/commands/Command.h"

namespace boragetrack::operators::commands {

/** Implements "organisation key remove". The key is given by the first digits of its digest. */
class OrganisationKeyRemoveCommand : public Command
{
public:
    std::string name() const override { return "organisation key remove"; }
    std::string summary() const override { return "removes a key of an organisation"; }
    void addOptions(boost::program_options::options_description &options) const override;
    std::vector<std::string> positionalArguments() const override { return {"name", "digest"}; }
    CommandResult run(CommandContext &context,
                      const boost::program_options::variables_map &arguments) const override;
};

} // namespace boragetrack::operators::commands
