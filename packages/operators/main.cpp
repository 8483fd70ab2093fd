/** Entry point of boragetrack: selects a command by the leading arguments, parses the rest, runs
    the command and prints its result. */
#include "core/events/EventLog.h"
#include "operators/commands/CommandTable.h"
#include "transport/http/BlockingClient.h"
#include "transport/http/HttpConfigStore.h"

#include <cstdlib>
#include <iostream>

namespace {

namespace options = boost::program_options;
using namespace boragetrack;
using operators::ExitCode;
using operators::commands::Command;
using operators::commands::CommandContext;
using operators::commands::CommandResult;

constexpr const char *settingsVariable = "BORAGETRACK_SETTINGS";

options::options_description describeOptions(const Command &command)
{
    options::options_description description("boragetrack " + command.name() + ": "
                                             + command.summary());
    auto add = description.add_options();
    add("help", "print this help");
    add("json", "print the result as JSON");
    const char *path = std::getenv(settingsVariable);
    add("settings", options::value<std::string>()->default_value(path != nullptr ? path : ""),
        "settings file (JSON)");
    command.addOptions(description);
    return description;
}

options::variables_map parse(const Command &command, const std::vector<std::string> &arguments,
                             const options::options_description &description)
{
    options::positional_options_description positions;
    for (const std::string &name : command.positionalArguments())
        positions.add(name.c_str(), 1);
    options::variables_map values;
    options::store(options::command_line_parser(arguments)
                           .options(description)
                           .positional(positions)
                           .run(),
                   values);
    return values;
}

CommandResult runOnline(const Command &command, const options::variables_map &values)
{
    const std::string path = values["settings"].as<std::string>();
    core::findings::FindingList findings(path);
    const auto settings = operators::settings::readOperatorSettings(path, findings);
    if (!settings)
        return {ExitCode::UsageError, "invalid settings from --settings or "
                                              + std::string(settingsVariable) + ":\n"
                                              + findings.toString()};
    transport::http::BlockingClient client;
    transport::http::HttpConfigStore store(settings->platform, client);
    CommandContext context(*settings, store, client,
                           [](const std::string &line) { std::cerr << line << std::endl; });
    return command.run(context, values);
}

CommandResult runOffline(const Command &command, const options::variables_map &values)
{
    const operators::settings::OperatorSettings none;
    transport::http::BlockingClient client;
    transport::http::HttpConfigStore store({}, client);
    CommandContext context(none, store, client, [](const std::string &) {});
    return command.run(context, values);
}

int print(const CommandResult &result, bool isJson)
{
    auto json = result.json;
    if (isJson) {
        json["exit"] = static_cast<int>(result.code);
        json["text"] = result.text;
        std::cout << json.dump() << std::endl;
    } else {
        (result.code == ExitCode::Success ? std::cout : std::cerr) << result.text << std::endl;
    }
    return static_cast<int>(result.code);
}

} // namespace

int main(int argc, char **argv)
{
    core::events::startLogging(argv[0]);
    const operators::commands::CommandTable table;
    std::vector<std::string> arguments(argv + 1, argv + argc);
    const Command *command = table.takeCommand(arguments);
    if (command == nullptr) {
        const bool isHelp
                = arguments.size() == 1 && (arguments[0] == "--help" || arguments[0] == "help");
        (isHelp ? std::cout : std::cerr) << table.help();
        return static_cast<int>(isHelp ? ExitCode::Success : ExitCode::UsageError);
    }
    try {
        const auto description = describeOptions(*command);
        options::variables_map values = parse(*command, arguments, description);
        if (values.contains("help")) {
            std::cout << description;
            return 0;
        }
        options::notify(values);
        const CommandResult result
                = command->isOffline() ? runOffline(*command, values) : runOnline(*command, values);
        return print(result, values.contains("json"));
    } catch (const options::error &error) {
        std::cerr << error.what() << std::endl;
        return static_cast<int>(ExitCode::UsageError);
    }
}
