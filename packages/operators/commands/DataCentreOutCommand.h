/** Takes a data centre out. */
#pragma once

#include "operators/commands/Command.h"

namespace boragetrack::operators::commands {

/** Performs "datacentre out". */
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
