/** All commands. */
#pragma once

#include "operators/commands/Command.h"

#include <memory>
#include <string>
#include <vector>

namespace boragetrack::operators::commands {

/** Holds all commands and finds one by its words. */
class CommandTable
{
public:
    CommandTable();

    /** Returns the command that the leading words call, or null.
        @param words the arguments; those that name the command are removed */
    const Command *takeCommand(std::vector<std::string> &words) const;

    /** Returns a line of help for each command. */
    std::string help() const;

private:
    std::vector<std::unique_ptr<Command>> commands_;
};

} // namespace boragetrack::operators::commands
