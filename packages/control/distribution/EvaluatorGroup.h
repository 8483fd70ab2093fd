/** Assignment of the nodes that evaluate a service's moves and record their outcomes. */
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
    Selects a few nodes of each service as evaluators. They receive the evidence of all nodes of the
    service and record the outcomes of its moves.

    Only evaluators reach verdicts, since a node that sees only its own upstream cannot distinguish
    a fault of that upstream from one of the version; the other nodes receive the verdicts by
    exchanges. When an evaluator fails, the next node in the order replaces it and receives all
    evidence from the start.
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

    /** Sends a batch. @returns false if the rate limit does not allow it now */
    using EvidenceBatchSender = std::function<bool(const EvidenceBatch &)>;

    /** One evaluator is enough; the others take over when it crashes, freezes or is cut off. */
    static constexpr std::size_t evaluatorsPerService = 3;
    /** Nodes that record an outcome in parallel; writing it twice is harmless. */
    static constexpr std::size_t recordersPerMove = 2;
    /** For each such interval that a record stays missing, one more node records the move, since
        the selected ones may be cut off from the store. */
    static constexpr std::chrono::milliseconds recorderEscalationInterval{500};

    /** @param membership and @param moves must outlive the group */
    EvaluatorGroup(const membership::MembershipEngine &membership, moves::MoveCoordinator &moves)
        : membership_(membership)
        , moves_(moves)
    {}

    /** Sets whether this node evaluates, and passes on the local evidence that evaluators lack.
        Batches that are not sent are offered again at the next call. */
    void sendEvidence(const EvidenceBatchSender &send, core::timing::MonotonicTime now);

    /** Returns the outcomes missing in the document that this node should record now. */
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
    // The time since which each state of a move has been missing in the intent.
    std::map<std::pair<std::string, intent::MoveState>, core::timing::MonotonicTime> pendingSince_;
};

} // namespace boragetrack::control::distribution
