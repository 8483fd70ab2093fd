/** Command that prints the organisations. */
#pragma once

#include "operators/commands/Command.h"

namespace boragetrack::operators::commands {

/** Implements "organisation list": prints priorities, and keys by the first digits of their
 * digests. */
class OrganisationListCommand : public Command
{
public:
    std::string name() const override { return "organisation list"; }
    std::string summary() const override { return "lists the organisations and their keys"; }
    void addOptions(boost::program_options::options_description &options) const override;
    CommandResult run(CommandContext &context,
                      const boost::program_options::variables_map &arguments) const override;
};

} // namespace boragetrack::operators::commands
