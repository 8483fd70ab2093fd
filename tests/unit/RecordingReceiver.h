/** A receiver of usage reports for tests of what is sent. */
#pragma once

#include "control/usage/UsageReceiver.h"

#include <deque>
#include <utility>

namespace boragetrack::tests {

/** Keeps calls pending until the test responds to them. */
class RecordingReceiver : public control::usage::UsageReceiver
{
public:
    /** One call. */
    struct Call
    {
        control::usage::UsageReport report;
        control::usage::FencingToken token;
        std::chrono::nanoseconds sendBefore;
        Callback callback;
    };

    void send(const control::usage::UsageReport &report, const core::identity::NodeId & /*holder*/,
              control::usage::FencingToken token, std::chrono::nanoseconds sendBefore,
              std::chrono::milliseconds /*timeout*/, Callback callback) override
    {
        calls.push_back(Call{report, token, sendBefore, std::move(callback)});
    }

    void revoke(control::usage::FencingToken token) override { revoked = token; }

    /** Responds to the first pending call. */
    void respond(const absl::Status &status)
    {
        const Callback callback = calls.front().callback;
        calls.pop_front();
        callback(status);
    }

    std::deque<Call> calls;
    control::usage::FencingToken revoked;
};

} // namespace boragetrack::tests
