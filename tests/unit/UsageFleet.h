/** A simulated fleet that reports usage. */
#pragma once

#include "UsageNode.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boragetrack::tests {

/** Runs nodes against one store and one receiver in manual time, and sums what they count. */
class UsageFleet
{
public:
    using Milliseconds = std::chrono::milliseconds;
    using Counts = std::map<std::uint64_t, control::usage::UsageCounts>;

    UsageFleet(std::size_t size, std::uint64_t seed,
               control::usage::UsageSettings settings = control::usage::UsageSettings{});

    /** Lets a time pass. */
    void run(Milliseconds duration);

    /** Starts a process at a place, whose earlier process must have ended. */
    void start(std::size_t place);

    /** Ends a process without notice. */
    void crash(std::size_t place);

    /** Runs until a node holds the duty. @returns its place, or nothing after a minute */
    std::optional<std::size_t> awaitHolder();

    /** Returns the holder's place, if one holds the duty. */
    std::optional<std::size_t> holder() const;

    /** Returns the process at a place, or null. */
    UsageNode *node(std::size_t place) { return nodes_[place].get(); }
    std::size_t size() const { return nodes_.size(); }

    /** Returns the faults that were seen so far, one a line; empty if there are none. */
    std::string faultText() const;

    /** Returns the window that lies a number of windows before the current one. */
    std::uint64_t windowBefore(std::uint64_t windows) const;

    /** Returns the last window that ended a time ago. */
    std::uint64_t windowEndedBefore(Milliseconds age) const;

    /** Returns the simulated time at which a window ends. */
    Milliseconds endOf(std::uint64_t window) const;

    UsageWorld world;
    UsageStoreModel store;
    UsageReceiverModel receiver;
    UsageSendRules rules{store};
    UsageFaults faults;
    std::vector<UsageNode::Cuts> cuts;
    /** What all processes counted. */
    Counts truth;
    /** Whether requests arrive. */
    bool hasLoad = true;

private:
    core::identity::NetworkAddress addressOf(std::size_t place) const;
    void updateMembers();
    void spreadRecords();
    void countRequests();

    const control::usage::UsageSettings settings_;
    std::vector<std::unique_ptr<UsageNode>> nodes_;
    /** The members as each node sees them, with the time until which an ended one is listed. */
    std::vector<control::usage::DutyHolder> lastSelf_;
    std::vector<Milliseconds> seenUntil_;
    std::uint64_t lastGeneration_ = 0;
    Milliseconds nextMembersAt_{0};
};

} // namespace boragetrack::tests
