/** The responses to keyed requests that the co-located upstream ran. */
#pragma once

#include "core/identity/IdempotencyKey.h"
#include "core/timing/MonotonicTime.h"
#include "traffic/calls/CallResponse.h"
#include "traffic/deduplication/ReplayState.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace boragetrack::traffic::deduplication {

/** Stores keyed requests and their responses, so that a duplicate gets the stored response and does
    not run again. */
class ReplayTable
{
public:
    /** How long a response is kept after its request ended. */
    static constexpr std::chrono::minutes retentionTime{10};
    /** The maximum number of keys; new keyed requests are refused as not run beyond it. */
    static constexpr std::size_t capacity = 100'000;
    /** The maximum total size of the stored response bodies, in bytes. */
    static constexpr std::size_t byteCapacity = 8'000'000;

    /** Returns the state of a key, and enters a new key as running. */
    ReplayState begin(const core::identity::IdempotencyKey &key);

    /** Stores the response to a running request. */
    void finish(const core::identity::IdempotencyKey &key, const calls::CallResponse &response,
                core::timing::MonotonicTime now);

    /** Removes the key of a request that was entered as running but certainly did not run. */
    void release(const core::identity::IdempotencyKey &key);

    /** Returns the stored response; nothing for unknown keys and running requests. */
    std::optional<calls::CallResponse> response(const core::identity::IdempotencyKey &key) const;

    /** Returns whether a new key can be entered. */
    bool hasRoom() const { return entries_.size() < capacity; }

    /** Removes the responses whose retention time is over. */
    void expire(core::timing::MonotonicTime now);

private:
    struct Entry
    {
        bool isFinished = false;
        calls::CallResponse response;
    };

    struct Expiry
    {
        core::identity::IdempotencyKey key;
        core::timing::MonotonicTime at;
    };

    std::unordered_map<core::identity::IdempotencyKey, Entry> entries_;
    // Invariant: one element for each finished entry, the earliest first.
    std::deque<Expiry> expiries_;
    // Invariant: the total size of the bodies of all finished entries.
    std::size_t bytes_ = 0;
};

} // namespace boragetrack::traffic::deduplication
