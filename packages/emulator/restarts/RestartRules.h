/** The guarantees that simulations of restarts check. */
#pragma once

#include <chrono>

namespace boragetrack::emulator::restarts {

/** No process puts an older intent in force than it had. */
inline constexpr const char *noRevertRule = "no revert";

/** A process has an intent in force soon after its first contact with one that has. */
inline constexpr const char *intentRule = "intent in force";
inline constexpr std::chrono::milliseconds intentLimit{1000};

/** An acknowledged change is in force on each node in touch. */
inline constexpr const char *changeRule = "change in force";
inline constexpr std::chrono::milliseconds changeLimit{2000};
/** The same with a reserve, which the design keeps for the time of messages and threads: after one
    disturbance and after two that last until stableWindow before the change or longer. Judged by
    RestartResult::changeDelays. */
inline constexpr const char *changeReserveRule = "change in force with reserve";
inline constexpr std::chrono::milliseconds changeReserveLimit{1000};
inline constexpr std::chrono::milliseconds changeReserveLimitOfTwo{1500};
/** How long a node has to have run, with its links and the store in order, to count as in touch. A
    store that serves some nodes only is in order; a node that it does not serve, and that reaches
    none of those, is not in touch. Connections and links that become silent are a disturbance of
    the nodes at their ends at that moment; cuts between nodes are none. */
inline constexpr std::chrono::milliseconds stableWindow{3000};

/** An upstream whose departure was acknowledged isn't used again. */
inline constexpr const char *departureRule = "departure kept";
inline constexpr std::chrono::milliseconds departureLimit{2000};

/** A version isn't used at a process that can reach one which knows that the version is bad. */
inline constexpr const char *verdictRule = "verdict kept";
inline constexpr std::chrono::milliseconds verdictLimit{2000};

} // namespace boragetrack::emulator::restarts
