/** The exit codes of the command line. */
#pragma once

namespace boragetrack::operators {

/** Tells scripts how a command ended. */
enum class ExitCode {
    Success = 0,
    Failed = 1,
    UsageError = 2,
    PlatformUnreachable = 3,
    Conflict = 4,
};

} // namespace boragetrack::operators
