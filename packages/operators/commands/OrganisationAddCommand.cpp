/** Appends the organisation to the document's list, which it creates for the first one. */
#include "operators/commands/OrganisationAddCommand.h"

namespace boragetrack::operators::commands {

namespace options = boost::program_options;
using nlohmann::json;

void OrganisationAddCommand::addOptions(options::options_description &description) const
{
    auto add = description.add_options();
    add("name", options::value<std::string>()->required(), "name of the new organisation");
    add("priority", options::value<int>(),
        "priority of its requests in place of the routes', 0 is the most urgent");
    add("reason", options::value<std::string>()->required(), "reason, for the audit trail");
    add("wait", options::bool_switch(), "wait until the change is in force on all nodes");
}

CommandResult OrganisationAddCommand::run(CommandContext &context,
                                          const options::variables_map &arguments) const
{
    const std::string name = arguments["name"].as<std::string>();
    json organisation{{"name", name}, {"keys", json::array()}};
    std::string action = "organisation add " + name;
    if (arguments.contains("priority")) {
        organisation["priority"] = arguments["priority"].as<int>();
        action += " --priority " + std::to_string(arguments["priority"].as<int>());
    }
    bool isFirst = false;
    CommandResult result = context.applyChange(
            arguments, action, arguments["reason"].as<std::string>(), [&](json &document) {
                isFirst = !document.contains("organisations");
                document["organisations"].push_back(organisation);
                return absl::OkStatus();
            });
    if (isFirst && result.json.value("accepted", false))
        result.text += "\nfrom now on requests need a key unless their route is public";
    return result;
}

} // namespace boragetrack::operators::commands
