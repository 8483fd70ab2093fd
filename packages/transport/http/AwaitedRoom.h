/** The room that one response waits for. */
#pragma once

#include "transport/http/BufferBudget.h"

namespace boragetrack::transport::http {

/** Keeps large bodies of requests from taking freed room during its own lifetime. */
class AwaitedRoom
{
public:
    /** @param budget outlives this object */
    AwaitedRoom(BufferBudget &budget, std::size_t bytes)
        : budget_(budget)
        , bytes_(bytes)
    {
        budget_.beginWait(bytes_);
    }
    ~AwaitedRoom() { budget_.endWait(bytes_); }
    AwaitedRoom(const AwaitedRoom &) = delete;
    AwaitedRoom &operator=(const AwaitedRoom &) = delete;

private:
    BufferBudget &budget_;
    const std::size_t bytes_;
};

} // namespace boragetrack::transport::http
