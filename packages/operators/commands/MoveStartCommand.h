/** Command that starts a move to another version. */
#pragma once

#include "operators/commands/Command.h"

namespace boragetrack::operators::commands {

/** Implements "move start". Fails if no upstream of the new version is serving, or if the time is
    too short to warm up upstreams and to collect evidence. */
class MoveStartCommand : public Command
{
public:
    std::string name() const override { return "move start"; }
    std::string summary() const override
    {
        return "starts the move of a service to another version";
    }
    void addOptions(boost::program_options::options_description &options) const override;
    std::vector<std::string> positionalArguments() const override { return {"service"}; }
    CommandResult run(CommandContext &context,
                      const boost::program_options::variables_map &arguments) const override;
};

} // namespace boragetrack::operators::commands
