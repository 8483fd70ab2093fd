/** Interface that all commands of the command line implement. */
#pragma once

#include "operators/commands/CommandContext.h"
#include "operators/commands/CommandResult.h"

#include <boost/program_options.hpp>
#include <string>
#include <vector>

namespace boragetrack::operators::commands {

/** Declares the name and the arguments of a command, and runs it. */
class Command
{
public:
    virtual ~Command() = default;

    /** Returns the one to three words that select the command, such as "default set". */
    virtual std::string name() const = 0;

    /** Returns a one-line description for the list of commands. */
    virtual std::string summary() const = 0;

    /** Adds the options of the command, including the positional arguments, to a description. */
    virtual void addOptions(boost::program_options::options_description &options) const = 0;

    /** Returns the names of the positional arguments, all of which are required. */
    virtual std::vector<std::string> positionalArguments() const { return {}; }

    /** Returns whether the command runs without settings and without network access. */
    virtual bool isOffline() const { return false; }

    /** Runs the command; may block while it waits for the platform or for nodes.
        @param context gives access to the platform and the nodes
        @param arguments the parsed options; the required ones are present
        @returns what to print, and the exit code */
    virtual CommandResult run(CommandContext &context,
                              const boost::program_options::variables_map &arguments) const = 0;
};

} // namespace boragetrack::operators::commands
