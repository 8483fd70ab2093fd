/** The links between simulated nodes. */
#pragma once

#include "core/identity/NetworkAddress.h"
#include "emulator/clock/EventClock.h"
#include "emulator/restarts/NetworkCut.h"
#include "emulator/restarts/SilentLinks.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace boragetrack::emulator::restarts {

class NodeProcess;

/** Carries requests and responses between processes. A request to a node without a process is
    refused; one across a cut or on a silent link fails after a timeout. */
class SimulatedNetwork
{
public:
    /** @param clock must outlive this object */
    SimulatedNetwork(clock::EventClock &clock, std::uint64_t seed)
        : clock_(clock)
        , random_(seed)
    {}

    /** Returns the address of a node. */
    static core::identity::NetworkAddress addressOf(std::size_t node);

    /** Makes a process reachable at its node's address. */
    void attach(std::size_t node, const std::shared_ptr<NodeProcess> &process);

    /** Makes a node's address refuse requests, and ends the links to it. */
    void detach(std::size_t node);

    /** Returns the process at an address, or null if there is none. */
    std::shared_ptr<NodeProcess> processAt(const core::identity::NetworkAddress &address) const;

    /** Sets the nodes that reach each other only. */
    void setCutOff(std::set<std::size_t> nodes) { cutOff_ = std::move(nodes); }

    /** Returns whether two nodes reach each other. */
    bool isConnected(std::size_t a, std::size_t b) const
    {
        return cutOff_.contains(a) == cutOff_.contains(b)
               && std::none_of(cuts_.begin(), cuts_.end(),
                               [&](const auto &cut) { return cut->separates(a, b); });
    }

    /** Adds a cut for a time. */
    void addCut(const std::shared_ptr<const NetworkCut> &cut, std::chrono::milliseconds duration);

    /** Makes the links from and to nodes silent that are open now, until they are replaced: after
        the first request on them that gets no response, as by transport::links::PeerLinks.
        @param isOneWay whether only what these nodes send is lost
        @param duration the time after which the kernel ends the links
        @returns the nodes at the ends of these links */
    std::set<std::size_t> silenceLinks(const std::set<std::size_t> &nodes, bool isOneWay,
                                       std::chrono::milliseconds duration);

    /** Returns whether a node is on the side of setCutOff() that reaches all others. @param
     * nodeCount the number of nodes */
    bool isConnectedToAll(std::size_t node, std::size_t nodeCount) const
    {
        return cutOff_.empty() || cutOff_.size() == nodeCount || !cutOff_.contains(node);
    }

    /** Sends a request.
        @param handle runs at the receiver and returns the response
        @param onResponse runs at the sender, unless its process has ended
        @param onFailure the same when no response arrives */
    template <typename Response>
    void call(NodeProcess &sender, const core::identity::NetworkAddress &receiver,
              std::function<Response(NodeProcess &)> handle,
              std::function<void(NodeProcess &, const Response &)> onResponse,
              const std::function<void(NodeProcess &)> &onFailure);

private:
    using Action = std::function<void(NodeProcess &)>;

    void addLink(std::size_t to, const std::weak_ptr<NodeProcess> &from);

    void replaceLink(const SilentLinks::Link &link);
    std::chrono::milliseconds drawDelay();
    void send(NodeProcess &sender, const core::identity::NetworkAddress &receiver,
              const std::function<Action(NodeProcess &)> &handle, const Action &onFailure);

    clock::EventClock &clock_;
    std::mt19937_64 random_;
    std::map<std::size_t, std::weak_ptr<NodeProcess>> processes_;
    std::set<std::size_t> cutOff_;
    std::vector<std::shared_ptr<const NetworkCut>> cuts_;
    SilentLinks silentLinks_;
    // The processes that have sent requests to a node's current process.
    std::map<std::size_t, std::vector<std::weak_ptr<NodeProcess>>> links_;
};

template <typename Response>
void SimulatedNetwork::call(NodeProcess &sender, const core::identity::NetworkAddress &receiver,
                            std::function<Response(NodeProcess &)> handle,
                            std::function<void(NodeProcess &, const Response &)> onResponse,
                            const std::function<void(NodeProcess &)> &onFailure)
{
    send(
            sender, receiver,
            [handle = std::move(handle),
             onResponse = std::move(onResponse)](NodeProcess &process) -> Action {
                return [onResponse, response = handle(process)](NodeProcess &caller) {
                    onResponse(caller, response);
                };
            },
            onFailure);
}

} // namespace boragetrack::emulator::restarts
