/** Registry of the commands of the command line. */
#pragma once

#include "operators/commands/Command.h"

#include <memory>
#include <string>
#include <vector>

namespace boragetrack::operators::commands {

/** Owns one instance of each command and looks commands up by name. */
class CommandTable
{
public:
    CommandTable();

    /** Finds the command that the first one to three arguments name.
        @param arguments the arguments of the process; those that name the command are removed
        @returns the command, owned by this table, or null if there is none */
    const Command *takeCommand(std::vector<std::string> &arguments) const;

    /** Returns the usage and one line for each command. */
    std::string help() const;

private:
    std::vector<std::unique_ptr<Command>> commands_;
};

} // namespace boragetrack::operators::commands
