/** Simulated fleet for scenario tests, on an in-memory network and a manual clock. */
#pragma once

#include "control/distribution/ControlPlane.h"
#include "core/timing/ManualTimerService.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace boragetrack::tests {

/** Runs control planes without threads or sockets. Messages pass through a queue, the platform is a
    stored value, and time moves only in advance(). Counts each time that a node serves an older
    revision than before, also across its restarts. Methods that take a node's name throw
    std::out_of_range for an unknown one. */
class ScenarioFleet
{
public:
    ScenarioFleet();
    ~ScenarioFleet();

    /** Adds a node without starting it; the first two nodes are the seeds of all nodes. */
    void addNode(const std::string &name, const std::string &dataCentre);

    /** Starts a node, or restarts it after a stop. */
    void start(const std::string &name);

    /** Ends a node's process without notifying its peers. */
    void kill(const std::string &name);

    /** Makes a node announce that it leaves, and ends its process after 100 ms. */
    void leave(const std::string &name);

    /** Suspends or resumes a node's process. While suspended it loses the messages that reach it,
        and its watch of the platform delivers nothing; its timers still run. */
    void setFrozen(const std::string &name, bool isFrozen);

    /** Blocks or restores the network between two data centres in both directions. The name
        "platform" stands for the platform. */
    void setCut(const std::string &first, const std::string &second, bool isCut);

    /** Stores an intent in the platform.
        @param revision the revision that the envelope names
        @param envelopeText the envelope as JSON */
    void storeIntent(std::uint64_t revision, const std::string &envelopeText);

    /** Makes the platform unavailable or available. */
    void setStoreUnavailable(bool isUnavailable) { isStoreUnavailable_ = isUnavailable; }

    /** Announces a node's upstream with 10 slots. */
    void announce(const std::string &node, const std::string &service, const std::string &version,
                  control::membership::UpstreamState state);

    /** Records ended calls to a node's upstream.
        @param call the evidence of each of the calls
        @param count the number of calls */
    void recordCalls(const std::string &node, const control::moves::CallEvidence &call, int count);

    /** Moves the clock forward in steps of 1 ms and delivers what falls due. */
    void advance(std::chrono::milliseconds time);

    /** Returns a node's control plane, or null if its process is not running. */
    control::distribution::ControlPlane *controlPlane(const std::string &name);

    /** Returns the names of all nodes in the order in which they were added. */
    std::vector<std::string> nodeNames() const;

    /** Removes and returns the lines that nodes reported since the last call. */
    std::vector<std::string> takeReports();

    /** Returns how often any node reverted to an older revision. */
    int revertCount() const { return revertCount_; }

    /** Returns the intent document stored in the platform; one must have been stored before. */
    nlohmann::json storedDocument() const;

    /** Returns the simulated calendar time. */
    core::timing::WallTime wallTime() const;

private:
    class Node;

    struct Message
    {
        core::timing::MonotonicTime at;
        std::function<void()> deliver;
    };

    void send(std::chrono::milliseconds delay, std::function<void()> deliver);
    void deliverDue();
    void runPlatform();
    void recordMoves(Node &node);
    bool isReachable(const std::string &first, const std::string &second) const;
    Node *findRunningNode(const core::identity::NetworkAddress &address);
    void report(const std::string &line);

    core::timing::ManualTimerService timers_;
    std::map<std::string, std::unique_ptr<Node>> nodes_;
    std::vector<std::string> nodeNames_;
    std::vector<Message> messages_;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::optional<std::string> storedEnvelope_;
    std::uint64_t storedRevision_ = 0;
    bool isStoreUnavailable_ = false;
    int revertCount_ = 0;
    std::vector<std::string> reports_;
};

} // namespace boragetrack::tests
