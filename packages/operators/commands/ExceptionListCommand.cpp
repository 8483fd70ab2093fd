/** Implements ExceptionListCommand. */
#include "operators/commands/ExceptionListCommand.h"

namespace boragetrack::operators::commands {

namespace options = boost::program_options;
using nlohmann::json;

void ExceptionListCommand::addOptions(options::options_description & /*description*/) const {}

CommandResult ExceptionListCommand::run(CommandContext &context,
                                        const options::variables_map & /*arguments*/) const
{
    const auto envelope = context.readIntent();
    if (!envelope.ok())
        return CommandContext::platformUnreachable(envelope.status());
    CommandResult result;
    result.json["exceptions"] = envelope->document["exceptions"];
    for (const json &exception : envelope->document["exceptions"]) {
        result.text += exception["id"].get<std::string>() + ": "
                       + exception["setting"].get<std::string>() + " = " + exception["value"].dump()
                       + " on " + exception["scope"].dump() + ", "
                       + exception["author"].get<std::string>() + ": "
                       + exception["reason"].get<std::string>() + "\n";
    }
    if (result.text.empty())
        result.text = "no exceptions";
    return result;
}

} // namespace boragetrack::operators::commands
