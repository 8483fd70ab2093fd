/** Sends each entry a limited number of times, ordered by priority. */
#include "control/membership/GossipQueue.h"

#include <algorithm>
#include <tuple>

namespace boragetrack::control::membership {

using core::identity::NodeId;

void GossipQueue::add(const NodeId &id, GossipPriority priority, int transmissions)
{
    entries_[id] = Entry{priority, transmissions};
}

std::vector<NodeId> GossipQueue::take(std::size_t maximum)
{
    if (maximum == 0)
        return {};
    std::vector<std::map<NodeId, Entry>::iterator> order;
    order.reserve(entries_.size());
    for (auto it = entries_.begin(); it != entries_.end(); ++it)
        order.push_back(it);
    // Among entries of equal priority, the ones sent least often come first.
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(std::min(maximum, order.size()));
    std::partial_sort(order.begin(), end, order.end(), [](const auto &a, const auto &b) {
        const Entry &first = a->second;
        const Entry &second = b->second;
        return std::tie(first.priority, second.remaining, a->first)
               < std::tie(second.priority, first.remaining, b->first);
    });
    order.erase(end, order.end());
    std::vector<NodeId> taken;
    for (const auto &it : order) {
        taken.push_back(it->first);
        if (--it->second.remaining == 0)
            entries_.erase(it);
    }
    return taken;
}

} // namespace boragetrack::control::membership
