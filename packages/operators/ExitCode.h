/** The exit codes of the command line. */
#pragma once

namespace boragetrack::operators {

/** Tells scripts how a command ended. */
enum class ExitCode {
    Done = 0,
    Refused = 1,
    WrongUse = 2,
    PlatformUnreachable = 3,
    AnotherWasFirst = 4,
};

} // namespace boragetrack::operators
