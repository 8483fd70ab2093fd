/** The interfaces that a node can speak. */
#pragma once

namespace boragetrack::daemon::settings {

/** Tells what callers, upstreams and the store of a deployment speak. */
enum class NodeInterface {
    /** The product's own, as in docs/PROTOCOLS.md. */
    Native,
    /** The one of the users' platform, as in docs/PLATFORM.md. */
    Platform,
};

} // namespace boragetrack::daemon::settings
