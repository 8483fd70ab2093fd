/** Implements DataCentreBackCommand. */
#include "operators/commands/DataCentreBackCommand.h"

#include "operators/commands/DataCentreChange.h"

namespace boragetrack::operators::commands {

namespace options = boost::program_options;
using nlohmann::json;

void DataCentreBackCommand::addOptions(options::options_description &description) const
{
    auto add = description.add_options();
    add("name", options::value<std::string>()->required(), "its name");
    add("reason", options::value<std::string>()->required(), "why, for the audit trail");
    add("wait", options::bool_switch(), "wait until the change is in force everywhere");
}

CommandResult DataCentreBackCommand::run(CommandContext &context,
                                         const options::variables_map &arguments) const
{
    return setDataCentreOut(context, arguments, false);
}

} // namespace boragetrack::operators::commands
