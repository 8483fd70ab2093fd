/** The calls that the upstream refused lately. */
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>

namespace boragetrack::traffic::inbound {

/** Tells a call that returns to an upstream that refused it before; its identifier does not tell an
    earlier refusal from a new one. */
class RefusedCalls
{
public:
    /** The number of calls that are remembered, for a time that exceeds timeouts of calls. */
    static constexpr std::size_t capacity = 2048;

    /** Remembers a call, and forgets the oldest one beyond the capacity. */
    void add(const std::string &requestId);

    /** Returns whether a call was refused lately; rarely true for another one. */
    bool contains(const std::string &requestId) const;

private:
    // Hashes of identifiers, whose length callers choose. Invariant: both hold the same ones;
    // order_ begins with the oldest.
    std::unordered_set<std::size_t> hashes_;
    std::deque<std::size_t> order_;
};

} // namespace boragetrack::traffic::inbound
