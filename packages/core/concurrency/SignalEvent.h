/** Result of waiting for a signal. */
#pragma once

namespace boragetrack::core::concurrency {

/** The action that a received signal requests. */
enum class SignalEvent {
    /** No signal arrived before the timeout. */
    None,
    /** The process must stop: SIGTERM or SIGINT. */
    Stop,
    /** The settings may have changed: SIGHUP. */
    Reload,
};

} // namespace boragetrack::core::concurrency
