/** The result of a call, from the upstream or from a node that refused it. */
#pragma once

#include "core/identity/NodeId.h"
#include "core/identity/Revision.h"
#include "core/identity/VersionName.h"
#include "traffic/calls/CallOutcome.h"
#include "traffic/calls/HeaderField.h"
#include "traffic/calls/LoadReport.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace boragetrack::traffic::calls {

/** Holds an upstream's complete response, or the reason why there is none. */
struct CallResponse
{
    CallOutcome outcome = CallOutcome::NotRun;
    /** The upstream's HTTP status; zero when it did not respond. */
    int status = 0;
    std::vector<HeaderField> headers;
    std::string body;
    /** Why the upstream did not respond; empty otherwise. */
    std::string reason;
    /** When the caller should retry, for calls that did not run. */
    std::optional<std::chrono::milliseconds> retryAfter;
    /** How long the upstream took; zero when it did not run the call. */
    std::chrono::microseconds serviceTime{0};
    /** Whether the request was sent to the upstream, even if that shed it. */
    bool reachedUpstream = false;
    /** The process id of the node that holds the claim (see Registrar), for outcome Claimed. */
    core::identity::NodeId claimHolder;
    /** The version that ran the call. */
    core::identity::VersionName version;
    LoadReport load;
    /** The revision of the intent in force on the upstream's node; zero if it did not tell. */
    core::identity::Revision intentRevision;
    /** Whether the call was refused because its sender routed it by an outdated intent. */
    bool isOutdated = false;

    /** Returns whether the upstream ran the call and failed. */
    bool isFailure() const { return outcome == CallOutcome::Completed && status >= 500; }

    /** Returns whether the upstream ran the call and did not fail. */
    bool isSuccess() const { return outcome == CallOutcome::Completed && status < 500; }

    /** Returns whether the upstream's node responded; an unreachable node reports no load. */
    bool hasReachedNode() const { return outcome == CallOutcome::Completed || load.limit > 0; }

    /** Returns the response to a call that certainly did not run. */
    static CallResponse notRun(std::string reason)
    {
        CallResponse response;
        response.reason = std::move(reason);
        return response;
    }

    /** Returns the response to a call that may have run. */
    static CallResponse unknown(std::string reason)
    {
        CallResponse response;
        response.outcome = CallOutcome::Unknown;
        response.reason = std::move(reason);
        return response;
    }
};

} // namespace boragetrack::traffic::calls
