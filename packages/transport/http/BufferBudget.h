/** A bound on the memory of all bodies that a process buffers. */
#pragma once

#include "transport/http/MemoryBudget.h"

#include <cstddef>

namespace boragetrack::transport::http {

/**
    Counts the bytes of bodies that are buffered at a time and limits their sum.

    A limit for each body alone does not bound the memory of a process, since the number of calls
    in progress is not fixed. Used on one thread.
*/
class BufferBudget
{
public:
    /** @param maximum in bytes
        @param memory the budget that this one is a part of; null for none; outlives this one */
    explicit BufferBudget(std::size_t maximum, MemoryBudget *memory = nullptr)
        : maximum_(maximum)
        , memory_(memory)
    {}
    BufferBudget(const BufferBudget &) = delete;
    BufferBudget &operator=(const BufferBudget &) = delete;

    /** Returns the bytes in use. */
    std::size_t used() const { return used_; }

    /** Resolves at the next time that bytes are returned to this budget, or to the one that it is a
        part of. */
    kj::Promise<void> whenReleased()
    {
        auto released = released_.whenReleased();
        return memory_ == nullptr ? kj::mv(released)
                                  : released.exclusiveJoin(memory_->whenReleased());
    }

    /** The largest body that does not leave the room that responses wait for, in bytes. Ordinary
        requests are served while many responses wait. */
    static constexpr std::size_t smallBodyBytes = std::size_t{16} * 1024;

    /** Returns what room for the body of a request is used for. */
    static RoomUse useOfBody(std::size_t bytes)
    {
        return bytes <= smallBodyBytes ? RoomUse::SmallBody : RoomUse::LargeBody;
    }

    /** Handles that a response begins to wait for room. @see AwaitedRoom */
    void beginWait(std::size_t bytes)
    {
        awaited_ += bytes;
        if (memory_ != nullptr)
            memory_->beginWait(bytes);
    }

    /** Handles that a response no longer waits for room. */
    void endWait(std::size_t bytes)
    {
        awaited_ -= bytes;
        if (memory_ != nullptr)
            memory_->endWait(bytes);
    }

    /** Records that a body was given up for lack of room in the budget that this one is a part of.
     */
    void recordRefusal(std::size_t bytes)
    {
        if (memory_ != nullptr)
            memory_->recordRefusal(bytes);
    }

    /** The part of one body; returns its bytes to the budget when it is destroyed. */
    class Share
    {
    public:
        /** @param budget must outlive the share */
        explicit Share(BufferBudget &budget)
            : budget_(&budget)
        {}
        ~Share() { resize(0); }
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /** Changes the size of the share of the body of a request. @returns false, without a
            change, if the budget does not allow it */
        bool resize(std::size_t bytes) { return resize(bytes, useOfBody(bytes)); }

        /** Changes the size of the share. @returns false, without a change, if the budget does not
            allow it */
        bool resize(std::size_t bytes, RoomUse use)
        {
            const std::size_t others = budget_->used_ - bytes_;
            const std::size_t kept = use == RoomUse::LargeBody ? budget_->awaited_ : 0;
            if (bytes > bytes_ && others + kept + bytes > budget_->maximum_)
                return false;
            if (budget_->memory_ != nullptr && !resizeInMemory(*budget_->memory_, bytes, use))
                return false;
            const bool isRelease = bytes < bytes_;
            budget_->used_ = others + bytes;
            bytes_ = bytes;
            if (isRelease)
                budget_->released_.release();
            return true;
        }

    private:
        bool resizeInMemory(MemoryBudget &memory, std::size_t bytes, RoomUse use) const
        {
            if (bytes > bytes_)
                return memory.add(bytes - bytes_, use);
            memory.remove(bytes_ - bytes);
            return true;
        }

        BufferBudget *budget_;
        std::size_t bytes_ = 0;
    };

private:
    const std::size_t maximum_;
    MemoryBudget *memory_;
    RoomSignal released_;
    // Invariant: the sum of the sizes of all shares, at most maximum_.
    std::size_t used_ = 0;
    // The bytes that responses wait for.
    std::size_t awaited_ = 0;
};

} // namespace boragetrack::transport::http
