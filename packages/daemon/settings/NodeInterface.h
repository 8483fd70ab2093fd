/** The interfaces that a node supports. */
#pragma once

namespace boragetrack::daemon::settings {

/** Selects the protocols of a deployment's callers, upstreams and store. */
enum class NodeInterface {
    /** The product's interface, described in docs/PROTOCOLS.md. */
    Native,
    /** The interface of the users' platform, described in docs/PLATFORM.md. */
    Platform,
};

} // namespace boragetrack::daemon::settings
