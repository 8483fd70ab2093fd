/** A process's client of the simulated receiver of usage reports. */
#pragma once

#include "UsageFaults.h"
#include "UsageProcess.h"
#include "UsageReceiverModel.h"
#include "UsageSendRules.h"
#include "control/usage/UsageReceiver.h"

#include <optional>

namespace boragetrack::tests {

/** Hands calls to a sending thread, which checks the time once more, and adds delays and faults. */
class UsageReceiverClient : public control::usage::UsageReceiver
{
public:
    UsageReceiverClient(UsageWorld &world, UsageProcess &process, UsageReceiverModel &model,
                        UsageSendRules &rules, std::uint64_t generation, const UsageFaults &faults,
                        const bool &isCut)
        : world_(world)
        , process_(process)
        , model_(model)
        , rules_(rules)
        , generation_(generation)
        , faults_(faults)
        , isCut_(isCut)
    {}

    void send(const control::usage::UsageReport &report, const core::identity::NodeId &holder,
              control::usage::FencingToken token, std::chrono::nanoseconds sendBefore,
              std::chrono::milliseconds timeout, Callback callback) override;

    void revoke(control::usage::FencingToken token) override { revoked_ = token; }

    /** The number of calls. */
    std::size_t calls = 0;
    /** If set, the next call is executed only after this time. */
    std::optional<std::chrono::milliseconds> nextDelay;

private:
    void transmit(const control::usage::UsageReport &report, control::usage::FencingToken token,
                  const Callback &respond);

    UsageWorld &world_;
    UsageProcess &process_;
    UsageReceiverModel &model_;
    UsageSendRules &rules_;
    const std::uint64_t generation_;
    const UsageFaults &faults_;
    const bool &isCut_;
    control::usage::FencingToken revoked_;
};

} // namespace boragetrack::tests
