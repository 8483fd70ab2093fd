/** Shows the audit trail. */
#pragma once

#include "operators/commands/Command.h"

namespace boragetrack::operators::commands {

/** Performs "history". */
class HistoryCommand : public Command
{
public:
    std::string name() const override { return "history"; }
    std::string summary() const override { return "shows who changed what, when and why"; }
    void addOptions(boost::program_options::options_description &options) const override;
    CommandResult run(CommandContext &context,
                      const boost::program_options::variables_map &arguments) const override;
};

} // namespace boragetrack::operators::commands
