/** Brings a data centre back. */
#pragma once

#include "operators/commands/Command.h"

namespace boragetrack::operators::commands {

/** Performs "datacentre back". */
class DataCentreBackCommand : public Command
{
public:
    std::string name() const override { return "datacentre back"; }
    std::string summary() const override { return "brings a data centre's upstreams back"; }
    void addOptions(boost::program_options::options_description &options) const override;
    std::vector<std::string> positionalArguments() const override { return {"name"}; }
    CommandResult run(CommandContext &context,
                      const boost::program_options::variables_map &arguments) const override;
};

} // namespace boragetrack::operators::commands
