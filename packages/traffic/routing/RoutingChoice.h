/** The outcome of a choice among endpoints. */
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

namespace boragetrack::traffic::routing {

/** Names the chosen candidate, or tells when there may be room. */
struct RoutingChoice
{
    /** Nothing when no candidate can answer in time. */
    std::optional<std::size_t> index;
    /** The shortest wait at any candidate. */
    std::chrono::milliseconds shortestWait{0};
};

} // namespace boragetrack::traffic::routing
