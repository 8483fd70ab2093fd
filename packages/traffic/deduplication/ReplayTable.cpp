/** Implements ReplayTable. */
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

void ReplayTable::finish(const IdempotencyKey &key, const CallResponse &answer, MonotonicTime now)
{
    Entry &entry = entries_[key];
    entry.isFinished = true;
    entry.answer = answer;
    // Without room for the answer, a repeat still learns that the request ran.
    if (bytes_ + answer.body.size() > byteCapacity)
        entry.answer = CallResponse::unknown("the request ran before; its answer is not kept");
    bytes_ += entry.answer.body.size();
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
    return found->second.answer;
}

void ReplayTable::expire(MonotonicTime now)
{
    while (!expiries_.empty() && expiries_.front().at <= now) {
        const auto found = entries_.find(expiries_.front().key);
        bytes_ -= found->second.answer.body.size();
        entries_.erase(found);
        expiries_.pop_front();
    }
}

} // namespace boragetrack::traffic::deduplication
