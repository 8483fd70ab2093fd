/** What is lost on a link between simulated nodes. */
#pragma once

namespace boragetrack::emulator::restarts {

/** Describes a link that stays open and carries nothing in one direction or both. */
struct LinkSilence
{
    /** Whether what the node that opened the link sends is lost. */
    bool losesRequests = false;
    /** Whether what the other node sends is lost. */
    bool losesResponses = false;
};

} // namespace boragetrack::emulator::restarts
