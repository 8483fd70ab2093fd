/** A bound on all bytes that a process holds for calls. */
#pragma once

#include "core/counters/CounterRegistry.h"
#include "transport/http/RoomSignal.h"
#include "transport/http/RoomUse.h"
#include "transport/http/SlowReader.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <limits>
#include <map>

namespace boragetrack::transport::http {

/**
    Counts the bodies that are being read and the responses that clients have not taken yet, and
    limits their sum.

    Where room is lacking, the connections whose clients have taken nothing for the longest time are
    closed. Those whose clients still take their responses are closed last, and only for what can
    neither wait nor be refused at little cost. Used on one thread.
*/
class MemoryBudget
{
public:
    /** @param maximum in bytes
        @param counters outlives the budget */
    MemoryBudget(std::size_t maximum, core::counters::CounterRegistry &counters)
        : maximum_(maximum)
        , closedReaders_(counters.counter("slow_readers_closed"))
        , refusals_(counters.counter("memory_budget_refusals"))
    {}
    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;

    /** A budget without a limit. */
    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    /** Returns the budget for a VM with a memory of a size, both in bytes. */
    static std::size_t maximumFor(std::size_t vmBytes)
    {
        return std::max(vmBytes / vmFraction, largestCallBytes);
    }

    /** How long the client of an idle reader has taken nothing. A client that reads at full speed
        takes a part within milliseconds; a lost packet is sent again after 200 ms. */
    static constexpr std::chrono::milliseconds minimumIdleTime{250};

    /** Returns the bytes in use. */
    std::size_t used() const { return used_; }

    //==============================================================================
    /** Adds bytes of a body that is being read.
        @returns false, without a change, if there is no room for them */
    bool add(std::size_t bytes, RoomUse use = RoomUse::LargeBody);

    /** Handles that a response begins to wait for room. */
    void beginWait(std::size_t bytes) { awaited_ += bytes; }

    /** Handles that a response no longer waits for room. */
    void endWait(std::size_t bytes) { awaited_ -= bytes; }

    /** Records that a body was given up because there was no room for it. */
    void recordRefusal(std::size_t bytes);

    /** Adds bytes that exist already, such as a response to a peer. */
    void addPresent(std::size_t bytes);

    /** Removes bytes that were added. */
    void remove(std::size_t bytes);

    /** Resolves at the next time that bytes are removed or released. */
    kj::Promise<void> whenReleased() { return released_.whenReleased(); }

    /** Adds bytes of a response that exists already.
        @param reader whose client takes them; stays in use until they are released */
    void hold(SlowReader &reader, std::size_t bytes);

    /** Removes bytes that are held. */
    void release(SlowReader &reader, std::size_t bytes);

private:
    /** The bytes that a connection holds. */
    struct Holding
    {
        std::size_t bytes = 0;
        bool isCutOff = false;
    };

    // A node with the settings of a VM of 160 MB is to stay below 100 MB. 19 MB are in use without
    // calls, and a body is copied up to twice for a moment; this leaves 40 MB.
    static constexpr std::size_t vmFraction = 4;
    // The largest call: a request of 8 MiB for an upstream of the same node, which is there twice,
    // and a response of 4 MiB.
    static constexpr std::size_t largestCallBytes = std::size_t{20} * 1024 * 1024;

    bool canMakeRoom(std::size_t bytes, bool closesActive) const;
    bool makeRoom(std::size_t bytes, bool closesActive);
    bool cutOffSlowest(bool closesActive);

    const std::size_t maximum_;
    core::counters::Counter &closedReaders_;
    core::counters::Counter &refusals_;
    std::map<SlowReader *, Holding> holdings_;
    std::size_t used_ = 0;
    // The part of used_ that is released as soon as the connections that were cut off end.
    std::size_t leaving_ = 0;
    // The bytes that responses wait for.
    std::size_t awaited_ = 0;
    RoomSignal released_;
};

} // namespace boragetrack::transport::http
