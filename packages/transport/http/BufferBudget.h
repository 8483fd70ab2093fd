/** A bound on the memory of all bodies that a process buffers. */
#pragma once

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
    /** @param maximum in bytes */
    explicit BufferBudget(std::size_t maximum)
        : maximum_(maximum)
    {}
    BufferBudget(const BufferBudget &) = delete;
    BufferBudget &operator=(const BufferBudget &) = delete;

    /** Returns the bytes in use. */
    std::size_t used() const { return used_; }

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

        /** Changes the size of the share. @returns false, without a change, if the budget does not
            allow it */
        bool resize(std::size_t bytes)
        {
            const std::size_t others = budget_->used_ - bytes_;
            if (bytes > bytes_ && others + bytes > budget_->maximum_)
                return false;
            budget_->used_ = others + bytes;
            bytes_ = bytes;
            return true;
        }

    private:
        BufferBudget *budget_;
        std::size_t bytes_ = 0;
    };

private:
    const std::size_t maximum_;
    // Invariant: the sum of the sizes of all shares, at most maximum_.
    std::size_t used_ = 0;
};

} // namespace boragetrack::transport::http
