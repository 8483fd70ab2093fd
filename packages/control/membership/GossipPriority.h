/** The urgency of a gossip entry. */
#pragma once

namespace boragetrack::control::membership {

/** Orders gossip entries; lower values are sent first. */
enum class GossipPriority { Departure, Change, Arrival };

} // namespace boragetrack::control::membership
