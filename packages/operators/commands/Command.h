/** One command of the command line. */
#pragma once

#include "operators/commands/CommandContext.h"
#include "operators/commands/CommandResult.h"

#include <boost/program_options.hpp>
#include <string>
#include <vector>

namespace boragetrack::operators::commands {

/** Describes and performs one command. */
class Command
{
public:
    virtual ~Command() = default;

    /** Returns the words that call the command, such as "default set". */
    virtual std::string name() const = 0;

    /** Returns one line of help. */
    virtual std::string summary() const = 0;

    /** Adds the command's options. */
    virtual void addOptions(boost::program_options::options_description &options) const = 0;

    /** Returns the names of the positional arguments, all of which are required. */
    virtual std::vector<std::string> positionalArguments() const { return {}; }

    /** Returns whether the command works without settings. */
    virtual bool isOffline() const { return false; }

    /** Performs the command. */
    virtual CommandResult run(CommandContext &context,
                              const boost::program_options::variables_map &arguments) const = 0;
};

} // namespace boragetrack::operators::commands
