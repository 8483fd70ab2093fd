/** Who evaluators the moves of a service. */
#pragma once

#include "control/membership/MembershipEngine.h"
#include "control/moves/EvidenceOutbox.h"
#include "control/moves/MoveCoordinator.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace boragetrack::control::distribution {

/**
    Chooses a few nodes of each service that get the evidence of all its nodes and record what
    became of its moves, and knows this node's part in that.

    Only evaluators reach verdicts, since a node that knows one upstream can not tell its trouble
   from one of its version; all others learn them. When a evaluator is lost the next in the order
   takes its place and gets all evidence anew.
*/
class EvaluatorGroup
{
public:
    /** Evidence for one evaluator. */
    struct EvidenceBatch
    {
        core::identity::NodeId evaluator;
        std::vector<moves::EvidenceEntry> entries;
    };

    /** Sends a batch. @returns false when there is no budget for it now */
    using EvidenceBatchSender = std::function<bool(const EvidenceBatch &)>;

    /** The evaluators of a service. One would do; the others count when it dies, freezes or is cut
     * off.
     */
    static constexpr std::size_t evaluatorsPerService = 3;
    /** Nodes that record an outcome at once: writing it twice does no harm. */
    static constexpr std::size_t recordersPerMove = 2;
    /** One more node records a move for each such time that the record is missing: the chosen ones
        may be cut off from the store. */
    static constexpr std::chrono::milliseconds recorderEscalationInterval{500};

    /** @param membership and @param moves outlive the jury */
    EvaluatorGroup(const membership::MembershipEngine &membership, moves::MoveCoordinator &moves)
        : membership_(membership)
        , moves_(moves)
    {}

    /** Takes note of whether this node evaluators, and hands out what it counted and evaluators
       lack; what is not sent is handed out again. */
    void sendEvidence(const EvidenceBatchSender &send, core::timing::MonotonicTime now);

    /** Returns the outcomes that an intent lacks and this node should record. */
    std::vector<moves::MoveRecord> dueRecords(const intent::IntentDocument &document,
                                              core::timing::WallTime wallTime,
                                              core::timing::MonotonicTime now);

private:
    bool isRecorder(const intent::IntentDocument &document, const std::string &moveId,
                    std::chrono::milliseconds overdue) const;
    bool hasServingUpstream(const core::identity::ServiceName &service,
                            const core::identity::VersionName &version) const;

    const membership::MembershipEngine &membership_;
    moves::MoveCoordinator &moves_;
    moves::EvidenceOutbox outbox_;
    // Since when each record of a move's state has been missing.
    std::map<std::pair<std::string, intent::MoveState>, core::timing::MonotonicTime> pendingSince_;
};

} // namespace boragetrack::control::distribution
