/** Command that removes a data centre from service. */
#pragma once

#include "operators/commands/Command.h"

namespace boragetrack::operators::commands {

/** Implements "datacentre out": sets the out flag of the data centre in the intent. */
class DataCentreOutCommand : public Command
{
public:
    std::string name() const override { return "datacentre out"; }
    std::string summary() const override
    {
        return "takes a data centre's upstreams out of service";
    }
    void addOptions(boost::program_options::options_description &options) const override;
    std::vector<std::string> positionalArguments() const override { return {"name"}; }
    CommandResult run(CommandContext &context,
                      const boost::program_options::variables_map &arguments) const override;
};

} // namespace boragetrack::operators::commands
