/** The evidence that is to be sent. */
#pragma once

#include "control/moves/EvidenceEntry.h"
#include "core/timing/MonotonicTime.h"

#include <functional>
#include <map>
#include <vector>

namespace boragetrack::control::moves {

/**
    Knows what of this node's own evidence each judge of its service lacks.

    Judges get it from the node that counted it and nobody passes it on, so that the traffic grows
    with the nodes of a service and not with their square. Counts only grow: what could not be sent
    for want of budget goes with a later parcel, and nothing is lost by waiting.
*/
class EvidenceOutbox
{
public:
    /** Tells whether evidence is about the new version of its move. */
    using NewVersionQuery = std::function<bool(const EvidenceKey &)>;

    /** Evidence about the old version changes with every call and is only the yardstick, so it goes
        this often. Its failures go at once: a trouble that both versions meet must not look like
        one of the new version. */
    static constexpr std::chrono::milliseconds oldVersionSendInterval{1000};
    /** A parcel stays below two kilobytes. */
    static constexpr std::size_t maxEntriesPerBatch = 10;

    /** Forgets what was sent to nodes that no longer judge; they get everything anew if they do. */
    void setEvaluators(const std::vector<core::identity::NodeId> &judges);

    /** Returns what a judge lacks and should get now; evidence about new versions goes first. */
    std::vector<EvidenceEntry> dueEntries(const core::identity::NodeId &judge,
                                          const std::vector<EvidenceEntry> &own,
                                          const NewVersionQuery &isOfNewVersion,
                                          core::timing::MonotonicTime now) const;

    /** Notes that a judge was sent these entries. */
    void recordSent(const core::identity::NodeId &judge, const std::vector<EvidenceEntry> &entries,
                    core::timing::MonotonicTime now);

private:
    struct Sent
    {
        EvidenceCounts counts;
        core::timing::MonotonicTime at;
    };

    static bool isDue(const EvidenceEntry &entry, bool isOfNewVersion, const Sent &earlier,
                      core::timing::MonotonicTime now);

    // Invariant: only judges have an element once they were sent something.
    std::map<core::identity::NodeId, std::map<EvidenceKey, Sent>> sent_;
};

} // namespace boragetrack::control::moves
