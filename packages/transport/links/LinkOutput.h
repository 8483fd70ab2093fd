/** The responses that wait to be written to a link. */
#pragma once

#include "transport/http/MemoryBudget.h"

#include <cstddef>
#include <deque>

namespace boragetrack::transport::links {

/** Counts large responses in the memory budget until they are written. A link writes its messages
    in the order in which they were passed to it, each with one write. */
class LinkOutput
{
public:
    /** Responses below this size are not counted, in bytes. */
    static constexpr std::size_t minimumBytes = std::size_t{64} * 1024;

    /** @param memory outlives the output; null to count nothing */
    explicit LinkOutput(http::MemoryBudget *memory)
        : memory_(memory)
    {}
    ~LinkOutput()
    {
        while (!waiting_.empty())
            removeFirst();
    }
    LinkOutput(const LinkOutput &) = delete;
    LinkOutput &operator=(const LinkOutput &) = delete;

    /** Handles that a response was passed to the link. @param bytes of its body */
    void handleResponse(std::size_t bytes)
    {
        if (memory_ == nullptr || bytes < minimumBytes)
            return;
        memory_->addPresent(bytes);
        waiting_.push_back(bytes);
    }

    /** Handles that a message was written. */
    void handleWritten(std::size_t bytes)
    {
        if (!waiting_.empty() && bytes >= waiting_.front())
            removeFirst();
    }

private:
    void removeFirst()
    {
        memory_->remove(waiting_.front());
        waiting_.pop_front();
    }

    http::MemoryBudget *memory_;
    std::deque<std::size_t> waiting_;
};

} // namespace boragetrack::transport::links
