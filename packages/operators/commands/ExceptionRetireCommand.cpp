/** Implements ExceptionRetireCommand. */
#include "operators/commands/ExceptionRetireCommand.h"

namespace boragetrack::operators::commands {

namespace options = boost::program_options;
using nlohmann::json;

void ExceptionRetireCommand::addOptions(options::options_description &description) const
{
    auto add = description.add_options();
    add("id", options::value<std::string>()->required(), "its id");
    add("reason", options::value<std::string>()->required(), "why, for the audit trail");
    add("wait", options::bool_switch(), "wait until the change is in force everywhere");
}

CommandResult ExceptionRetireCommand::run(CommandContext &context,
                                          const options::variables_map &arguments) const
{
    const std::string id = arguments["id"].as<std::string>();
    return context.applyChange(arguments, "exception retire " + id,
                               arguments["reason"].as<std::string>(), [&](json &document) {
                                   json &list = document["exceptions"];
                                   for (std::size_t i = 0; i < list.size(); ++i) {
                                       if (list[i]["id"] == id) {
                                           list.erase(i);
                                           return absl::OkStatus();
                                       }
                                   }
                                   return absl::NotFoundError("no exception '" + id + "'");
                               });
}

} // namespace boragetrack::operators::commands
