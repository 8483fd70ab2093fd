/** The bytes of one response that its client has not taken yet. */
#pragma once

#include "transport/http/MemoryBudget.h"

namespace boragetrack::transport::http {

/** Counts the bytes of a response in the memory budget during its own lifetime. */
class HeldResponse
{
public:
    /** @param budget null to count nothing; outlives this object, as does the reader */
    HeldResponse(MemoryBudget *budget, SlowReader &reader, std::size_t bytes)
        : budget_(budget)
        , reader_(reader)
        , bytes_(bytes)
    {
        if (budget_ != nullptr)
            budget_->hold(reader_, bytes_);
    }
    ~HeldResponse()
    {
        if (budget_ != nullptr)
            budget_->release(reader_, bytes_);
    }
    HeldResponse(const HeldResponse &) = delete;
    HeldResponse &operator=(const HeldResponse &) = delete;

private:
    MemoryBudget *budget_;
    SlowReader &reader_;
    const std::size_t bytes_;
};

} // namespace boragetrack::transport::http
