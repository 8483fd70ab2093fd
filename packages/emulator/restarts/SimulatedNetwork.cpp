/** Cuts and silent links are checked when a message is sent and when it arrives. */
#include "emulator/restarts/SimulatedNetwork.h"

#include "emulator/restarts/NodeProcess.h"

#include <algorithm>

namespace boragetrack::emulator::restarts {

using core::identity::NetworkAddress;
using std::chrono::milliseconds;

namespace {

constexpr std::uint16_t firstPort = 7000;
constexpr std::int64_t minimumDelayMs = 1;
constexpr std::int64_t maximumDelayMs = 6;
// The time after which a node gives up a control request.
constexpr milliseconds requestTimeout{1000};

std::size_t nodeAt(const NetworkAddress &address)
{
    return static_cast<std::size_t>(address.port - firstPort);
}

} // namespace

NetworkAddress SimulatedNetwork::addressOf(std::size_t node)
{
    return {"10.0.0.1", static_cast<std::uint16_t>(firstPort + node)};
}

void SimulatedNetwork::attach(std::size_t node, const std::shared_ptr<NodeProcess> &process)
{
    processes_[node] = process;
}

void SimulatedNetwork::detach(std::size_t node)
{
    processes_.erase(node);
    for (const auto &link : links_[node]) {
        clock_.schedule(drawDelay(), [link, node]() {
            if (const auto process = link.lock())
                process->disconnect(addressOf(node));
        });
    }
    links_.erase(node);
    silentLinks_.removeAllOf(node);
}

void SimulatedNetwork::addLink(std::size_t to, const std::weak_ptr<NodeProcess> &from)
{
    auto &links = links_[to];
    const bool isOpen = std::any_of(links.begin(), links.end(), [&](const auto &link) {
        return !link.owner_before(from) && !from.owner_before(link);
    });
    if (!isOpen)
        links.push_back(from);
}

void SimulatedNetwork::addCut(const std::shared_ptr<const NetworkCut> &cut, milliseconds duration)
{
    cuts_.push_back(cut);
    clock_.schedule(duration, [this, cut]() { std::erase(cuts_, cut); });
}

std::set<std::size_t> SimulatedNetwork::silenceLinks(const std::set<std::size_t> &nodes,
                                                     bool isOneWay, milliseconds duration)
{
    std::set<std::size_t> ends;
    for (const auto &[to, openers] : links_) {
        for (const auto &opener : openers) {
            const auto process = opener.lock();
            if (!process || (!nodes.contains(process->node()) && !nodes.contains(to)))
                continue;
            const SilentLinks::Link link{process->node(), to};
            silentLinks_.add(link, {!isOneWay || nodes.contains(link.first),
                                    !isOneWay || nodes.contains(link.second)});
            ends.insert({link.first, link.second});
            clock_.schedule(duration, [this, link, opener, other = processes_[to]]() {
                if (!opener.expired() && !other.expired())
                    replaceLink(link);
            });
        }
    }
    return ends;
}

void SimulatedNetwork::replaceLink(const SilentLinks::Link &link)
{
    const auto opener = processAt(addressOf(link.first));
    if (silentLinks_.remove(link) && opener)
        opener->disconnect(addressOf(link.second));
}

milliseconds SimulatedNetwork::drawDelay()
{
    return milliseconds(std::uniform_int_distribution(minimumDelayMs, maximumDelayMs)(random_));
}

std::shared_ptr<NodeProcess> SimulatedNetwork::processAt(const NetworkAddress &address) const
{
    const auto found = processes_.find(nodeAt(address));
    return found == processes_.end() ? nullptr : found->second.lock();
}

void SimulatedNetwork::send(NodeProcess &sender, const NetworkAddress &receiver,
                            const std::function<Action(NodeProcess &)> &handle,
                            const Action &onFailure)
{
    const std::size_t from = sender.node();
    const std::size_t to = nodeAt(receiver);
    const auto runAtSender = [weak = sender.weak_from_this()](const Action &action) {
        if (const auto process = weak.lock())
            process->run([&]() { action(*process); });
    };
    const auto failAfter = [this, runAtSender, onFailure](milliseconds delay) {
        clock_.schedule(delay, [runAtSender, onFailure]() { runAtSender(onFailure); });
    };
    const auto timeOut = [this, failAfter, link = SilentLinks::Link{from, to}]() {
        failAfter(requestTimeout);
        clock_.schedule(requestTimeout, [this, link]() { silentLinks_.remove(link); });
    };
    clock_.schedule(drawDelay(), [this, from, to, receiver, handle, link = sender.weak_from_this(),
                                  runAtSender, failAfter, timeOut]() {
        if (!isConnected(from, to) || silentLinks_.of({from, to}).losesRequests) {
            timeOut();
            return;
        }
        const auto process = processAt(receiver);
        if (!process) {
            failAfter(drawDelay());
            return;
        }
        addLink(to, link);
        Action onResponse;
        process->run([&]() { onResponse = handle(*process); });
        clock_.schedule(drawDelay(), [this, from, to, runAtSender, timeOut, onResponse]() {
            if (isConnected(from, to) && !silentLinks_.of({from, to}).losesResponses)
                runAtSender(onResponse);
            else
                timeOut();
        });
    });
}

} // namespace boragetrack::emulator::restarts
