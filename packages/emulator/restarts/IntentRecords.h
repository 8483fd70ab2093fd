/** Names in the simulated intents and keys of their records. */
#pragma once

namespace boragetrack::emulator::restarts {

/** The keys of the intent, of the order of a move and of the move's recorded state. */
inline constexpr const char *intentKey = "intent/current";
inline constexpr const char *moveKey = "intent/move";
inline constexpr const char *moveStateKey = "intent/move-state";
/** The prefix of the keys above. */
inline constexpr const char *intentKeyPrefix = "intent/";

/** The service, the route and the versions of all simulated intents. */
inline constexpr const char *serviceName = "orders";
inline constexpr const char *routeName = "deposits";
inline constexpr const char *oldVersion = "v1";
inline constexpr const char *newVersion = "v2";

/** The recorded states of a move. */
inline constexpr const char *runningState = "running";
inline constexpr const char *doneState = "done";
inline constexpr const char *takenBackState = "taken back";

} // namespace boragetrack::emulator::restarts
