/** Selection of the evidence that a node sends to the evaluators of its service. */
#pragma once

#include "control/moves/EvidenceEntry.h"
#include "core/timing/MonotonicTime.h"

#include <functional>
#include <map>
#include <vector>

namespace boragetrack::control::moves {

/**
    Tracks which of this node's evidence each evaluator has not been sent yet.

    Evaluators get evidence only from the node that counted it and do not forward it, so that the
    traffic grows linearly, not quadratically, with the nodes of a service. Counts never decrease:
    a batch that exceeds the traffic budget can wait, because a later batch includes its counts.
*/
class EvidenceOutbox
{
public:
    /** Returns whether evidence is about the new version of its move. */
    using NewVersionQuery = std::function<bool(const EvidenceKey &)>;

    /** The minimum interval between two sendings of an entry about the old version, whose counts
        change with every call and only serve for comparison. Failures of the old version are sent
        without delay, so that a fault of both versions is not attributed to the new one. */
    static constexpr std::chrono::milliseconds oldVersionSendInterval{1000};
    /** Keeps a batch below two kilobytes. */
    static constexpr std::size_t maxEntriesPerBatch = 10;

    /** Forgets what was sent to nodes that are no longer evaluators; a node that becomes an
        evaluator again gets all evidence. */
    void setEvaluators(const std::vector<core::identity::NodeId> &evaluators);

    /** Returns the next batch for an evaluator: at most maxEntriesPerBatch entries, those about
        new versions first. */
    std::vector<EvidenceEntry> dueEntries(const core::identity::NodeId &evaluator,
                                          const std::vector<EvidenceEntry> &local,
                                          const NewVersionQuery &isOfNewVersion,
                                          core::timing::MonotonicTime now) const;

    /** Records that an evaluator was sent these entries. */
    void recordSent(const core::identity::NodeId &evaluator,
                    const std::vector<EvidenceEntry> &entries, core::timing::MonotonicTime now);

private:
    struct Sent
    {
        EvidenceCounts counts;
        core::timing::MonotonicTime at;
    };

    static bool isDue(const EvidenceEntry &entry, bool isOfNewVersion, const Sent &previous,
                      core::timing::MonotonicTime now);

    // Invariant: holds only evaluators that were sent at least one batch.
    std::map<core::identity::NodeId, std::map<EvidenceKey, Sent>> sent_;
};

} // namespace boragetrack::control::moves
