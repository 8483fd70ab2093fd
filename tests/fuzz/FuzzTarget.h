/** The interface of a fuzz target. */
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace boragetrack::tests {

/** Feeds bytes from outside to one part of the product. */
class FuzzTarget
{
public:
    virtual ~FuzzTarget() = default;

    /** Returns inputs to begin with. */
    virtual std::vector<std::string> seeds() const = 0;

    /** Processes an input in several cuts. The process ends if the product fails.
        @param cuts positions in the input, in ascending order
        @returns what differs between the cuts, or nothing */
    virtual std::optional<std::string> run(const std::string &input,
                                           const std::vector<std::size_t> &cuts) const = 0;
};

} // namespace boragetrack::tests
