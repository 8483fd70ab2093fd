/** Prints the key only after its digest was stored: otherwise the caller would get a key that no
   node knows. */
#include "operators/commands/OrganisationKeyAddCommand.h"

#include "control/intent/KeyDigest.h"
#include "operators/commands/OrganisationList.h"
#include "operators/keys/KeyGenerator.h"

namespace boragetrack::operators::commands {

namespace options = boost::program_options;
using nlohmann::json;

void OrganisationKeyAddCommand::addOptions(options::options_description &description) const
{
    auto add = description.add_options();
    add("name", options::value<std::string>()->required(), "name of the organisation");
    add("reason", options::value<std::string>()->required(), "reason, for the audit trail");
    add("wait", options::bool_switch(), "wait until the change is in force on all nodes");
}

CommandResult OrganisationKeyAddCommand::run(CommandContext &context,
                                             const options::variables_map &arguments) const
{
    const std::string name = arguments["name"].as<std::string>();
    const auto key = keys::generateKey();
    if (!key.ok())
        return {ExitCode::Failed, std::string(key.status().message())};
    const auto digest = control::intent::KeyDigest::of(*key);
    CommandResult result = context.applyChange(
            arguments, "organisation key add " + name + " " + digest.prefix(),
            arguments["reason"].as<std::string>(), [&](json &document) {
                const auto position = findOrganisation(document, name);
                if (position.ok())
                    document["organisations"][*position]["keys"].push_back(digest.toHex());
                return position.status();
            });
    if (!result.json.value("accepted", false))
        return result;
    result.json["key"] = *key;
    result.json["digest"] = digest.prefix();
    result.text += "\nkey of " + name + ", not shown again: " + *key + "\nits digest starts with "
                   + digest.prefix();
    return result;
}

} // namespace boragetrack::operators::commands
