/** What a process is told by a signal. */
#pragma once

namespace boragetrack::core::concurrency {

/** Tells which signal arrived, if any did. */
enum class SignalEvent {
    /** No signal came in the time waited for. */
    None,
    /** The process is to stop. */
    Stop,
    /** The settings may have changed. */
    Reload,
};

} // namespace boragetrack::core::concurrency
