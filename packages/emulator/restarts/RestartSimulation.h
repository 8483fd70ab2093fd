/** Simulation of a restart plan. */
#pragma once

#include "emulator/restarts/AnnouncingUpstream.h"
#include "emulator/restarts/RestartPlan.h"

namespace boragetrack::emulator::restarts {

/**
    Plays a restart plan with the control state of nodes, without threads, sockets and the time that
    they take, and checks the guarantees of RestartRules meanwhile.

    The same plan gives the same result. Log events of the calling thread are redirected while the
    simulation runs.
*/
class RestartSimulation
{
public:
    /** @param plan must outlive the simulation
        @param isLogged whether log() has the events of the nodes */
    RestartSimulation(const RestartPlan &plan, bool isLogged);
    ~RestartSimulation();
    RestartSimulation(const RestartSimulation &) = delete;
    RestartSimulation &operator=(const RestartSimulation &) = delete;

    /** Runs the whole simulation. May be called once. */
    RestartResult run();

    /** Returns what the nodes logged. */
    const std::vector<std::string> &log() const { return log_.lines(); }

private:
    struct Node
    {
        std::shared_ptr<NodeProcess> process;
        std::unique_ptr<AnnouncingUpstream> upstream;
        std::uint64_t generation = 0;
        // The process starts again at this time at the earliest.
        core::timing::MonotonicTime downUntil{};
        // How long the process had no intent although it could reach one that had.
        std::chrono::milliseconds intentWait{0};
        // For how long the new version could be used although a process that could be reached knew
        // that it is bad.
        std::chrono::milliseconds verdictWait{0};
        bool isWaitRecorded = false;
        // When the node was last cut off from others and the store, lost responses of the store, or
        // had connections or links that became silent.
        std::optional<core::timing::MonotonicTime> disturbedAt;
    };

    // An operator's change of the intent.
    struct Change
    {
        core::identity::Revision revision;
        // When it was acknowledged, from the start of the simulation.
        std::chrono::milliseconds at;
        // The longest time for which a node in touch lacked it.
        std::chrono::milliseconds delay{0};
    };

    void schedule(const RestartFault &fault);
    void begin(const RestartFault &fault);
    void setStoreAccess(const std::set<std::size_t> &nodes, std::chrono::milliseconds duration,
                        StoreAccess access);
    void silenceConnections(const std::set<std::size_t> &nodes);
    void delayWatch(const RestartFault &fault);
    // Records a disturbance at this moment.
    void recordDisturbance(const std::set<std::size_t> &nodes);
    std::set<std::size_t> selectedFollowers() const;
    // Returns the selected follower with the lowest id; empty if there is none.
    std::set<std::size_t> prober() const;
    // Fails the pending watches of nodes and returns these.
    std::set<std::size_t> endWatches(std::set<std::size_t> nodes);
    core::identity::NodeId idOf(std::size_t index) const;
    void startNode(std::size_t index);
    void endProcess(std::size_t index);
    void kill(std::size_t index, std::chrono::milliseconds downTime);
    void stop(std::size_t index, std::chrono::milliseconds downTime);
    void discardPeakLoads();
    void recordCallsRegularly();
    void checkRegularly();
    void checkChangesRegularly();
    void checkIntent(Node &node);
    void recordDisturbances();
    // Returns whether the store serves the node or another one that it reaches.
    bool hasPathToStore(const Node &node) const;
    bool isInTouch(const Node &node) const;
    void checkChanges(Node &node);
    void checkDeparture(Node &node);
    void checkVerdict(Node &node);
    template <typename Condition>
    bool reachesProcess(const Node &node, Condition condition) const;

    const RestartPlan &plan_;
    clock::EventClock clock_;
    RestartLog log_;
    std::mt19937_64 random_;
    SimulatedStore store_;
    SimulatedNetwork network_;
    RestartResult result_;
    std::vector<Node> nodes_;
    int intentCount_ = 0;
    std::vector<Change> changes_;
    // When the store was last out of order for all nodes.
    std::optional<core::timing::MonotonicTime> storeDisturbedAt_;
};

} // namespace boragetrack::emulator::restarts
