/** One process of a simulated fleet that reports usage. */
#pragma once

#include "UsageFaults.h"
#include "UsageProcess.h"
#include "UsageReceiverClient.h"
#include "UsageStoreClient.h"
#include "control/usage/UsageReporter.h"
#include "core/timing/ManualTimerService.h"

#include <map>
#include <string>
#include <vector>

namespace boragetrack::tests {

/** Counts requests, and runs a reporter against simulated services. */
class UsageNode : private control::usage::UsageTransport,
                  private control::usage::LeaseClock,
                  private control::usage::UsageReporterListener
{
public:
    using Milliseconds = std::chrono::milliseconds;
    using PeerLookup = std::function<UsageNode *(const core::identity::NetworkAddress &)>;

    /** What a node shares with others; references outlive it. */
    struct Surroundings
    {
        UsageWorld &world;
        UsageStoreModel &store;
        UsageReceiverModel &receiver;
        UsageSendRules &rules;
        const UsageFaults &faults;
        PeerLookup peerAt;
        control::usage::UsageSettings settings;
    };

    /** The connections of a node that are cut. */
    struct Cuts
    {
        bool isStoreCut = false;
        bool isReceiverCut = false;
        bool isPeersCut = false;
    };

    UsageNode(Surroundings surroundings, control::usage::DutyHolder self, const Cuts &cuts);

    /** Returns the system time. */
    static core::timing::WallTime wallTimeAt(Milliseconds now)
    {
        return core::timing::WallTime(std::chrono::seconds(1'760'000'000) + now);
    }

    /** Lets a time pass at this process. */
    void advance(Milliseconds step);

    /** Counts a request that begins to run now. */
    void countRequest(const std::string &organisation);

    /** Takes over the records of the store. */
    void synchronize();

    const control::usage::DutyHolder &self() const { return self_; }
    UsageProcess &process() { return process_; }
    UsageStoreClient &storeClient() { return storeClient_; }
    UsageReceiverClient &receiverClient() { return receiverClient_; }
    control::usage::UsageReporter &reporter() { return reporter_; }
    bool isHolder() const { return reporter_.status().token.number() != 0; }

    /** The counts of this process by window. */
    std::map<std::uint64_t, control::usage::UsageCounts> counted;
    /** The windows of which this process dropped counts. */
    std::vector<std::uint64_t> dropped;
    /** The windows that this process reported incomplete. */
    std::map<std::uint64_t, std::vector<core::identity::NodeId>> incomplete;
    std::vector<std::string> losses;
    std::vector<control::usage::UsageReport> accepted;
    std::vector<std::string> failures;
    std::size_t gains = 0;
    /** Whether the process is about to stop, so that its counts are final. */
    bool isStopping = false;

private:
    void sendUsage(const core::identity::NetworkAddress &peer,
                   const control::usage::UsageSnapshot &snapshot, Callback callback) override;
    std::chrono::nanoseconds now() const override { return surroundings_.world.now(); }
    void dutyGained(control::usage::FencingToken token) override;
    void dutyLost(control::usage::FencingToken token, const std::string &reason) override;
    void reportAccepted(const control::usage::UsageReport &report) override;
    void reportFailed(const control::usage::UsageReport &report, const std::string &error) override;
    void reportIncomplete(control::usage::UsageWindow window,
                          const std::vector<core::identity::NodeId> &missing) override;
    void countsDropped(control::usage::UsageWindow window) override;
    control::usage::UsageSnapshot snapshot();

    Surroundings surroundings_;
    const control::usage::DutyHolder self_;
    const Cuts &cuts_;
    UsageProcess process_;
    UsageStoreClient storeClient_;
    UsageReceiverClient receiverClient_;
    core::timing::ManualTimerService timers_;
    control::records::RecordTable table_;
    std::uint64_t sequence_ = 0;
    Milliseconds nextSnapshotAt_;
    control::usage::UsageReporter reporter_;
};

} // namespace boragetrack::tests
