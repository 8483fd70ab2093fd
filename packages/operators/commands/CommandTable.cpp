/** Tries the longest names first: three words, then two, then one. */
#include "operators/commands/CommandTable.h"

#include "operators/commands/ApplyCommand.h"
#include "operators/commands/CheckCommand.h"
#include "operators/commands/DataCentreBackCommand.h"
#include "operators/commands/DataCentreOutCommand.h"
#include "operators/commands/DefaultSetCommand.h"
#include "operators/commands/DefaultShowCommand.h"
#include "operators/commands/ExceptionAddCommand.h"
#include "operators/commands/ExceptionListCommand.h"
#include "operators/commands/ExceptionRetireCommand.h"
#include "operators/commands/ExplainCommand.h"
#include "operators/commands/HistoryCommand.h"
#include "operators/commands/MoveStartCommand.h"
#include "operators/commands/MoveStatusCommand.h"
#include "operators/commands/MoveTakeBackCommand.h"
#include "operators/commands/MoveWaitCommand.h"
#include "operators/commands/OrganisationAddCommand.h"
#include "operators/commands/OrganisationKeyAddCommand.h"
#include "operators/commands/OrganisationKeyRemoveCommand.h"
#include "operators/commands/OrganisationListCommand.h"
#include "operators/commands/OrganisationRemoveCommand.h"
#include "operators/commands/StatusCommand.h"
#include "operators/commands/UsageCommand.h"

namespace boragetrack::operators::commands {

namespace {

std::string joinFirst(const std::vector<std::string> &arguments, std::size_t count)
{
    std::string text;
    for (std::size_t i = 0; i < count; ++i)
        text += (i > 0 ? " " : "") + arguments[i];
    return text;
}

} // namespace

CommandTable::CommandTable()
{
    commands_.push_back(std::make_unique<CheckCommand>());
    commands_.push_back(std::make_unique<ApplyCommand>());
    commands_.push_back(std::make_unique<DefaultShowCommand>());
    commands_.push_back(std::make_unique<DefaultSetCommand>());
    commands_.push_back(std::make_unique<ExceptionAddCommand>());
    commands_.push_back(std::make_unique<ExceptionListCommand>());
    commands_.push_back(std::make_unique<ExceptionRetireCommand>());
    commands_.push_back(std::make_unique<ExplainCommand>());
    commands_.push_back(std::make_unique<MoveStartCommand>());
    commands_.push_back(std::make_unique<MoveStatusCommand>());
    commands_.push_back(std::make_unique<MoveWaitCommand>());
    commands_.push_back(std::make_unique<MoveTakeBackCommand>());
    commands_.push_back(std::make_unique<DataCentreOutCommand>());
    commands_.push_back(std::make_unique<DataCentreBackCommand>());
    commands_.push_back(std::make_unique<OrganisationListCommand>());
    commands_.push_back(std::make_unique<OrganisationAddCommand>());
    commands_.push_back(std::make_unique<OrganisationRemoveCommand>());
    commands_.push_back(std::make_unique<OrganisationKeyAddCommand>());
    commands_.push_back(std::make_unique<OrganisationKeyRemoveCommand>());
    commands_.push_back(std::make_unique<StatusCommand>());
    commands_.push_back(std::make_unique<UsageCommand>());
    commands_.push_back(std::make_unique<HistoryCommand>());
}

const Command *CommandTable::takeCommand(std::vector<std::string> &arguments) const
{
    for (const std::size_t count : {std::size_t{3}, std::size_t{2}, std::size_t{1}}) {
        if (arguments.size() < count)
            continue;
        const std::string name = joinFirst(arguments, count);
        for (const auto &command : commands_) {
            if (command->name() != name)
                continue;
            arguments.erase(arguments.begin(),
                            arguments.begin() + static_cast<std::ptrdiff_t>(count));
            return command.get();
        }
    }
    return nullptr;
}

std::string CommandTable::help() const
{
    constexpr std::size_t column = 25;
    std::string text = "boragetrack COMMAND [ARGUMENTS] [--settings FILE] [--json]\n\n";
    for (const auto &command : commands_) {
        std::string name = command->name();
        name.resize(std::max(column, name.size()), ' ');
        text += "  " + name + command->summary() + "\n";
    }
    return text + "\nboragetrack COMMAND --help shows the arguments of a command.\n";
}

} // namespace boragetrack::operators::commands
