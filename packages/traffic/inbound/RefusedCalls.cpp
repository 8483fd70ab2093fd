/** A set of hashes with their order of insertion; a call that is refused again keeps its place. */
#include "traffic/inbound/RefusedCalls.h"

#include <functional>

namespace boragetrack::traffic::inbound {

void RefusedCalls::add(const std::string &requestId)
{
    const std::size_t hash = std::hash<std::string>()(requestId);
    if (!hashes_.insert(hash).second)
        return;
    order_.push_back(hash);
    if (order_.size() <= capacity)
        return;
    hashes_.erase(order_.front());
    order_.pop_front();
}

bool RefusedCalls::contains(const std::string &requestId) const
{
    return hashes_.contains(std::hash<std::string>()(requestId));
}

} // namespace boragetrack::traffic::inbound
