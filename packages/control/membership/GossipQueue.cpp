/** Implements GossipQueue. */
#include "control/membership/GossipQueue.h"

#include <algorithm>

namespace boragetrack::control::membership {

using core::identity::NodeId;

void GossipQueue::add(const NodeId &id, GossipPriority priority, int transmissions)
{
    entries_[id] = Entry{priority, transmissions};
}

std::vector<NodeId> GossipQueue::take(std::size_t maximum)
{
    std::vector<std::map<NodeId, Entry>::iterator> order;
    for (auto it = entries_.begin(); it != entries_.end(); ++it)
        order.push_back(it);
    // News of equal urgency goes out evenly: what was sent least comes first.
    std::stable_sort(order.begin(), order.end(), [](const auto &a, const auto &b) {
        return a->second.priority != b->second.priority ? a->second.priority < b->second.priority
                                                        : a->second.remaining > b->second.remaining;
    });
    std::vector<NodeId> taken;
    for (const auto &it : order) {
        if (taken.size() == maximum)
            break;
        taken.push_back(it->first);
        if (--it->second.remaining == 0)
            entries_.erase(it);
    }
    return taken;
}

} // namespace boragetrack::control::membership
