/** Entries in a hash table, with a queue of expiry times: all responses are kept equally long, so
    that the queue is in the order of expiry. */
#include "traffic/deduplication/ReplayTable.h"

namespace boragetrack::traffic::deduplication {

using calls::CallResponse;
using core::identity::IdempotencyKey;
using core::timing::MonotonicTime;

ReplayState ReplayTable::begin(const IdempotencyKey &key)
{
    const auto [it, isNew] = entries_.try_emplace(key);
    if (isNew)
        return ReplayState::New;
    return it->second.isFinished ? ReplayState::Finished : ReplayState::Running;
}

void ReplayTable::finish(const IdempotencyKey &key, const CallResponse &response, MonotonicTime now)
{
    Entry &entry = entries_[key];
    entry.isFinished = true;
    entry.response = response;
    // Without space for the body, duplicates still learn that the request ran.
    if (bytes_ + response.body.size() > byteCapacity)
        entry.response = CallResponse::unknown("the request already ran; its response is not kept");
    bytes_ += entry.response.body.size();
    expiries_.push_back(Expiry{key, now + retentionTime});
}

void ReplayTable::release(const IdempotencyKey &key)
{
    entries_.erase(key);
}

std::optional<CallResponse> ReplayTable::response(const IdempotencyKey &key) const
{
    const auto found = entries_.find(key);
    if (found == entries_.end() || !found->second.isFinished)
        return std::nullopt;
    return found->second.response;
}

void ReplayTable::expire(MonotonicTime now)
{
    while (!expiries_.empty() && expiries_.front().at <= now) {
        const auto found = entries_.find(expiries_.front().key);
        bytes_ -= found->second.response.body.size();
        entries_.erase(found);
        expiries_.pop_front();
    }
}

} // namespace boragetrack::traffic::deduplication
