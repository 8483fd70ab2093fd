/** How urgently a piece of news spreads. */
#pragma once

namespace boragetrack::control::membership {

/** Orders news by urgency, the most urgent first. */
enum class GossipPriority { Departure, Change, Arrival };

} // namespace boragetrack::control::membership
