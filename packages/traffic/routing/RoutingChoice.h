/** The result of a choice among endpoints. */
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

namespace boragetrack::traffic::routing {

/** Holds the chosen candidate, or the time after which there may be capacity. */
struct RoutingChoice
{
    /** The position among the candidates; nothing when none can respond in time. */
    std::optional<std::size_t> index;
    /** The shortest expected queueing delay of all candidates. */
    std::chrono::milliseconds shortestWait{0};
};

} // namespace boragetrack::traffic::routing
