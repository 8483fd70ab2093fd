/** The answer to a call. */
#pragma once

#include "core/identity/NodeId.h"
#include "core/identity/VersionName.h"
#include "traffic/calls/CallOutcome.h"
#include "traffic/calls/HeaderField.h"
#include "traffic/calls/LoadReport.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace boragetrack::traffic::calls {

/** Holds an upstream's whole answer, or the reason why there is none. */
struct CallResponse
{
    CallOutcome outcome = CallOutcome::NotRun;
    /** The upstream's HTTP status when it answered. */
    int status = 0;
    std::vector<HeaderField> headers;
    std::string body;
    /** Why there is no answer. */
    std::string reason;
    /** When the caller may try again with a chance; only for calls that did not run. */
    std::optional<std::chrono::milliseconds> retryAfter;
    /** How long the upstream worked on the call; zero when it did not. */
    std::chrono::microseconds serviceTime{0};
    /** Whether the request was sent to the upstream, even if that refused it. */
    bool reachedUpstream = false;
    /** The node that holds the claim, when outcome is Claimed. */
    core::identity::NodeId claimHolder;
    /** The version that ran the call. */
    core::identity::VersionName version;
    LoadReport load;

    /** Returns whether the upstream ran the call and failed. */
    bool isFailure() const { return outcome == CallOutcome::Completed && status >= 500; }

    /** Returns whether the node beside the upstream answered; a node that can not be reached says
        nothing of its load. */
    bool hasReachedNode() const { return outcome == CallOutcome::Completed || load.limit > 0; }

    /** Returns an answer that says that the call did not run. */
    static CallResponse notRun(std::string reason)
    {
        CallResponse answer;
        answer.reason = std::move(reason);
        return answer;
    }

    /** Returns an answer that says that the call may have run. */
    static CallResponse unknown(std::string reason)
    {
        CallResponse answer;
        answer.outcome = CallOutcome::Unknown;
        answer.reason = std::move(reason);
        return answer;
    }
};

} // namespace boragetrack::traffic::calls
