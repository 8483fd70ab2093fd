/** The state of the upstream beside a node. */
#pragma once

namespace boragetrack::control::membership {

/** Tells whether the upstream beside a node may get new work. */
enum class UpstreamState { None, Serving, Draining };

} // namespace boragetrack::control::membership
