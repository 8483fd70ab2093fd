/** The states of an upstream. */
#pragma once

namespace boragetrack::control::membership {

/** States whether the node's upstream may receive new requests. */
enum class UpstreamState { None, Serving, Draining };

} // namespace boragetrack::control::membership
