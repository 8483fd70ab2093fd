/** Leaves an empty list after the last organisation, so that requests do not become free of keys by
    its removal. */
#include "operators/commands/OrganisationRemoveCommand.h"

#include "operators/commands/OrganisationList.h"

namespace boragetrack::operators::commands {

namespace options = boost::program_options;
using nlohmann::json;

void OrganisationRemoveCommand::addOptions(options::options_description &description) const
{
    auto add = description.add_options();
    add("name", options::value<std::string>()->required(), "name of the organisation");
    add("reason", options::value<std::string>()->required(), "reason, for the audit trail");
    add("wait", options::bool_switch(), "wait until the change is in force on all nodes");
}

CommandResult OrganisationRemoveCommand::run(CommandContext &context,
                                             const options::variables_map &arguments) const
{
    const std::string name = arguments["name"].as<std::string>();
    return context.applyChange(arguments, "organisation remove " + name,
                               arguments["reason"].as<std::string>(), [&](json &document) {
                                   const auto position = findOrganisation(document, name);
                                   if (position.ok())
                                       document["organisations"].erase(*position);
                                   return position.status();
                               });
}

} // namespace boragetrack::operators::commands
