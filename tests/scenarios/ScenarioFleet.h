/** A few control planes joined by fakes under a manual clock. */
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

/** Runs control planes without threads or sockets: messages travel through a queue in memory, the
    platform is a value, and time moves only when told. Checks at each step that no node goes back
    to an older revision, restarts included. */
class ScenarioFleet
{
public:
    ScenarioFleet();
    ~ScenarioFleet();

    /** Adds a node that is not started; the first two nodes are everybody's seeds. */
    void addNode(const std::string &name, const std::string &dataCentre);

    /** Starts a node, again after a stop. */
    void start(const std::string &name);

    /** Ends a node's process without notice. */
    void kill(const std::string &name);

    /** Lets a node leave as planned. */
    void leave(const std::string &name);

    /** Stops a node's process for a while, or lets it go on. */
    void setFrozen(const std::string &name, bool isFrozen);

    /** Cuts two data centres off from each other, or heals the cut. "platform" names the platform.
     */
    void setCut(const std::string &first, const std::string &second, bool isCut);

    /** Stores an intent in the platform. */
    void storeIntent(std::uint64_t revision, const std::string &envelopeText);

    /** Puts the platform out of service, or back. */
    void setStoreUnavailable(bool isOut) { isStoreUnavailable_ = isOut; }

    /** Announces the upstream beside a node. */
    void announce(const std::string &node, const std::string &service, const std::string &version,
                  control::membership::UpstreamState state);

    /** Notes calls to the upstream beside a node. */
    void recordCalls(const std::string &node, const control::moves::CallEvidence &call, int count);

    /** Moves the clock forward. */
    void advance(std::chrono::milliseconds time);

    /** Returns a findRunningNode node's control plane, or null. */
    control::distribution::ControlPlane *controlPlane(const std::string &name);

    /** Returns the names of all nodes. */
    std::vector<std::string> nodeNames() const;

    /** Returns the lines that nodes reported since the last call. */
    std::vector<std::string> takeReports();

    /** Returns how often any node went back to an older revision. */
    int revertCount() const { return revertCount_; }

    /** Returns the document stored in the platform. */
    nlohmann::json storedDocument() const;

    /** Returns the calendar time of the scenario. */
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
