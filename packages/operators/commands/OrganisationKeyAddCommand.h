/** Command that generates a key of an organisation. */
#pragma once

#include "operators/commands/Command.h"

namespace boragetrack::operators::commands {

/** Implements "organisation key add". The key is printed once; the intent and the audit trail
 * contain its digest only. */
class OrganisationKeyAddCommand : public Command
{
public:
    std::string name() const override { return "organisation key add"; }
    std::string summary() const override
    {
        return "generates a key of an organisation and prints it";
    }
    void addOptions(boost::program_options::options_description &options) const override;
    std::vector<std::string> positionalArguments() const override { return {"name"}; }
    CommandResult run(CommandContext &context,
                      const boost::program_options::variables_map &arguments) const override;
};

} // namespace boragetrack::operators::commands
