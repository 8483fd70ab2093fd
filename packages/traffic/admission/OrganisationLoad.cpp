/** Forgets organisations without requests. */
#include "traffic/admission/OrganisationLoad.h"

#include <algorithm>
#include <cassert>

namespace boragetrack::traffic::admission {

void OrganisationLoad::removeWaiting(const Name &name)
{
    assert(counts_.contains(name) && counts_.at(name).waiting > 0);
    --counts_[name].waiting;
    eraseIfIdle(name);
}

void OrganisationLoad::removeRunning(const Name &name)
{
    assert(counts_.contains(name) && counts_.at(name).running > 0);
    --counts_[name].running;
    eraseIfIdle(name);
}

std::size_t OrganisationLoad::requests(const Name &name) const
{
    const auto found = counts_.find(name);
    return found == counts_.end() ? 0 : found->second.running + found->second.waiting;
}

std::size_t OrganisationLoad::highestWithWaiting() const
{
    std::size_t highest = 0;
    for (const auto &[name, counts] : counts_) {
        if (counts.waiting > 0)
            highest = std::max(highest, counts.running + counts.waiting);
    }
    return highest;
}

void OrganisationLoad::eraseIfIdle(const Name &name)
{
    const auto found = counts_.find(name);
    if (found->second.running + found->second.waiting == 0)
        counts_.erase(found);
}

} // namespace boragetrack::traffic::admission
