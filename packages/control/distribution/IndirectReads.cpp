/** Nodes that do not follow the store are asked first, in random order. One that was in touch with
    the store is asked alone the next time. */
#include "control/distribution/IndirectReads.h"

#include <algorithm>

namespace boragetrack::control::distribution {

using core::identity::NodeId;
using core::timing::MonotonicTime;

void IndirectReads::recordMissingProof(MonotonicTime now)
{
    if (!missingSince_)
        missingSince_ = now;
}

void IndirectReads::recordOwnContact(MonotonicTime askedAt)
{
    if (!missingSince_ || askedAt <= *missingSince_)
        return;
    missingSince_.reset();
    firstAskedAt_.reset();
    helper_ = {};
}

void IndirectReads::recordContact(const NodeId &node, MonotonicTime contactAt)
{
    if (firstAskedAt_ && contactAt >= *firstAskedAt_)
        helper_ = node;
}

bool IndirectReads::isDue(std::optional<MonotonicTime> lastContact, MonotonicTime now)
{
    if (!missingSince_ || (lastContact && now - *lastContact < role_.maximumProofAge(now)))
        return false;
    if (firstAskedAt_ && lastContact && *lastContact >= *firstAskedAt_)
        firstAskedAt_.reset();
    if (!firstAskedAt_)
        return true;
    return now - askedAt_ >= (rounds_ < roundsBeforeOutage ? roundPeriod : outageRoundPeriod);
}

std::vector<NodeId> IndirectReads::takeNodesToAsk(std::optional<MonotonicTime> lastContact,
                                                  MonotonicTime now)
{
    if (!isDue(lastContact, now))
        return {};
    const bool isFirstRound = !firstAskedAt_;
    askedAt_ = now;
    if (isFirstRound) {
        firstAskedAt_ = now;
        rounds_ = 0;
        drawOrder();
    }
    ++rounds_;
    if (isFirstRound && !helper_.isEmpty())
        return {helper_};
    if (next_ == order_.size())
        drawOrder();
    const std::size_t wanted = rounds_ <= roundsBeforeOutage ? nodesPerRound : 1;
    const std::size_t end = std::min(order_.size(), next_ + wanted);
    const std::vector<NodeId> nodes(order_.begin() + static_cast<std::ptrdiff_t>(next_),
                                    order_.begin() + static_cast<std::ptrdiff_t>(end));
    next_ = end;
    return nodes;
}

void IndirectReads::drawOrder()
{
    order_.clear();
    next_ = 0;
    for (const auto &[id, record] : members_.table().records()) {
        if (record.state == membership::MemberState::Alive && id != members_.self().id)
            order_.push_back(id);
    }
    std::shuffle(order_.begin(), order_.end(), random_);
    const std::vector<NodeId> followers = role_.selectedFollowers();
    std::stable_partition(order_.begin(), order_.end(), [&](const NodeId &node) {
        return std::find(followers.begin(), followers.end(), node) == followers.end();
    });
}

} // namespace boragetrack::control::distribution
