/** Records the digits of the digest that was found and not the argument, which may be a key that
   was given by mistake. */
#include "operators/commands/OrganisationKeyRemoveCommand.h"

#include "control/intent/KeyDigest.h"
#include "operators/commands/OrganisationList.h"

namespace boragetrack::operators::commands {

namespace options = boost::program_options;
using nlohmann::json;

namespace {

// Returns the digest of the key that the arguments describe.
absl::StatusOr<std::string> findDigest(const json &document, const std::string &name,
                                       const std::string &digits)
{
    const auto position = findOrganisation(document, name);
    if (!position.ok())
        return position.status();
    const json &organisation = document["organisations"][*position];
    const auto key = findKey(organisation, digits);
    if (!key.ok())
        return key.status();
    return organisation["keys"][*key].get<std::string>();
}

} // namespace

void OrganisationKeyRemoveCommand::addOptions(options::options_description &description) const
{
    auto add = description.add_options();
    add("name", options::value<std::string>()->required(), "name of the organisation");
    add("digest", options::value<std::string>()->required(),
        "first digits of the key's digest, as 'organisation list' shows them");
    add("reason", options::value<std::string>()->required(), "reason, for the audit trail");
    add("wait", options::bool_switch(), "wait until the change is in force on all nodes");
}

CommandResult OrganisationKeyRemoveCommand::run(CommandContext &context,
                                                const options::variables_map &arguments) const
{
    const std::string name = arguments["name"].as<std::string>();
    const auto envelope = context.readIntent();
    if (!envelope.ok())
        return CommandContext::platformUnreachable(envelope.status());
    const auto digest = findDigest(envelope->document, name, arguments["digest"].as<std::string>());
    if (!digest.ok())
        return {ExitCode::Failed,
                "refused; nothing was changed:\n" + std::string(digest.status().message())};
    const std::string prefix = digest->substr(0, control::intent::KeyDigest::prefixDigits);
    CommandResult result = context.applyChange(
            arguments, "organisation key remove " + name + " " + prefix,
            arguments["reason"].as<std::string>(), [&](json &document) {
                const auto position = findOrganisation(document, name);
                if (!position.ok())
                    return position.status();
                json &keys = document["organisations"][*position]["keys"];
                const auto key = findKey(document["organisations"][*position], *digest);
                if (key.ok())
                    keys.erase(*key);
                return key.status();
            });
    result.json["digest"] = prefix;
    return result;
}

} // namespace boragetrack::operators::commands
