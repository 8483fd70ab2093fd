/** Prints the organisations in the order in which the document lists them. */
#include "operators/commands/OrganisationListCommand.h"

#include "control/intent/IntentParser.h"

namespace boragetrack::operators::commands {

namespace options = boost::program_options;
using nlohmann::json;

namespace {

json toJson(const control::intent::Organisation &organisation)
{
    json object{{"name", organisation.name.value()}, {"keys", json::array()}};
    for (const control::intent::KeyDigest &key : organisation.keys)
        object["keys"].push_back(key.prefix());
    if (organisation.priority)
        object["priority"] = *organisation.priority;
    return object;
}

std::string toLine(const control::intent::Organisation &organisation)
{
    std::string line = organisation.name.value() + ":";
    if (organisation.priority)
        line += " priority " + std::to_string(*organisation.priority) + ",";
    if (organisation.keys.empty())
        return line + " no keys\n";
    line += " keys";
    for (const control::intent::KeyDigest &key : organisation.keys)
        line += " " + key.prefix();
    return line + "\n";
}

} // namespace

void OrganisationListCommand::addOptions(options::options_description & /*description*/) const {}

CommandResult OrganisationListCommand::run(CommandContext &context,
                                           const options::variables_map & /*arguments*/) const
{
    const auto envelope = context.readIntent();
    if (!envelope.ok())
        return CommandContext::platformUnreachable(envelope.status());
    core::findings::FindingList findings("intent");
    const auto document = control::intent::readIntent(envelope->document, findings);
    if (!document)
        return {ExitCode::Failed, findings.toString()};
    CommandResult result;
    result.json = {{"keysRequired", document->organisations.has_value()},
                   {"organisations", json::array()}};
    if (!document->organisations) {
        result.text = "no organisations; requests need no key";
        return result;
    }
    for (const control::intent::Organisation &organisation : *document->organisations) {
        result.json["organisations"].push_back(toJson(organisation));
        result.text += toLine(organisation);
    }
    if (result.text.empty())
        result.text = "no organisations; only public routes serve requests";
    return result;
}

} // namespace boragetrack::operators::commands
