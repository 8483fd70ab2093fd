/** The keyed requests that ran beside this node. */
#pragma once

#include "core/identity/IdempotencyKey.h"
#include "core/timing/MonotonicTime.h"
#include "traffic/calls/CallResponse.h"
#include "traffic/deduplication/ReplayState.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace boragetrack::traffic::deduplication {

/** Remembers keyed requests and their answers, so that a repeat gets the first answer instead of
    running again. */
class ReplayTable
{
public:
    /** How long an answer is remembered. */
    static constexpr std::chrono::minutes retentionTime{10};
    /** Requests remembered at most; beyond it, new keyed requests are refused as not run. */
    static constexpr std::size_t capacity = 100'000;
    /** Bytes of answers remembered at most. */
    static constexpr std::size_t byteCapacity = 8'000'000;

    /** Returns whether the key is known; a new one counts as running from here on. */
    ReplayState begin(const core::identity::IdempotencyKey &key);

    /** Remembers the answer of a running request. */
    void finish(const core::identity::IdempotencyKey &key, const calls::CallResponse &answer,
                core::timing::MonotonicTime now);

    /** Forgets a running request that certainly did not run. */
    void release(const core::identity::IdempotencyKey &key);

    /** Returns the answer of a finished request. */
    std::optional<calls::CallResponse> response(const core::identity::IdempotencyKey &key) const;

    /** Returns whether a new key can be remembered. */
    bool hasRoom() const { return entries_.size() < capacity; }

    /** Forgets answers past their time. */
    void expire(core::timing::MonotonicTime now);

private:
    struct Entry
    {
        bool isFinished = false;
        calls::CallResponse answer;
    };

    struct Expiry
    {
        core::identity::IdempotencyKey key;
        core::timing::MonotonicTime at;
    };

    std::unordered_map<core::identity::IdempotencyKey, Entry> entries_;
    // Invariant: one element for each finished entry, the earliest first.
    std::deque<Expiry> expiries_;
    std::size_t bytes_ = 0;
};

} // namespace boragetrack::traffic::deduplication
