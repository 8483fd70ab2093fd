/** Keeps the contacts of peers that are ahead until their revision has arrived. */
#include "control/distribution/StoreContact.h"

#include <algorithm>

namespace boragetrack::control::distribution {

using core::identity::Revision;
using core::timing::MonotonicTime;

void StoreContact::recordStore(MonotonicTime askedAt)
{
    last_ = std::max(last_.value_or(askedAt), askedAt);
    std::erase_if(awaited_, [&](const AwaitedContact &awaited) { return awaited.at <= *last_; });
}

void StoreContact::recordPeer(Revision revision, MonotonicTime contactAt, Revision held)
{
    if (revision <= held) {
        recordStore(contactAt);
        return;
    }
    if (last_ && contactAt <= *last_)
        return;
    const auto known
            = std::find_if(awaited_.begin(), awaited_.end(), [&](const AwaitedContact &awaited) {
                  return awaited.revision == revision;
              });
    if (known == awaited_.end())
        awaited_.push_back({revision, contactAt});
    else
        known->at = std::max(known->at, contactAt);
}

void StoreContact::recordRevision(Revision held)
{
    std::optional<MonotonicTime> reached;
    for (const AwaitedContact &awaited : awaited_) {
        if (awaited.revision <= held)
            reached = std::max(reached.value_or(awaited.at), awaited.at);
    }
    std::erase_if(awaited_,
                  [&](const AwaitedContact &awaited) { return awaited.revision <= held; });
    if (reached)
        recordStore(*reached);
}

} // namespace boragetrack::control::distribution
