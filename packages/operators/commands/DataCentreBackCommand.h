/** Command that returns a data centre to service. */
#pragma once

#include "operators/commands/Command.h"

namespace boragetrack::operators::commands {

/** Implements "datacentre back": clears the out flag of the data centre in the intent. */
class DataCentreBackCommand : public Command
{
public:
    std::string name() const override { return "datacentre back"; }
    std::string summary() const override
    {
        return "puts a data centre's upstreams back into service";
    }
    void addOptions(boost::program_options::options_description &options) const override;
    std::vector<std::string> positionalArguments() const override { return {"name"}; }
    CommandResult run(CommandContext &context,
                      const boost::program_options::variables_map &arguments) const override;
};

} // namespace boragetrack::operators::commands
