/** Exit codes of the command line; scripts depend on the numbers. */
#pragma once

namespace boragetrack::operators {

/** The possible outcomes of a command. */
enum class ExitCode {
    Success = 0,
    /** The change or file was refused, a timeout passed, no node responded, or a move failed. */
    Failed = 1,
    /** An argument or the settings are invalid. */
    UsageError = 2,
    /** The platform is unreachable, or its responses leave the outcome of a change unknown. */
    PlatformUnreachable = 3,
    /** Another change was stored first; nothing was written. */
    Conflict = 4,
};

} // namespace boragetrack::operators
