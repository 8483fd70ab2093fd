/** Seeded mutation of fuzz inputs. */
#pragma once

#include <random>
#include <string>
#include <vector>

namespace boragetrack::tests {

/** Derives inputs and cuts from seeds; the same random seed gives the same sequence. */
class Mutator
{
public:
    /** @param seeds at least one */
    Mutator(std::vector<std::string> seeds, std::uint64_t randomSeed)
        : seeds_(std::move(seeds))
        , random_(randomSeed)
    {}

    /** Returns the next input, at most maximumBytes long. */
    std::string next();

    /** Returns random positions within an input, in ascending order. */
    std::vector<std::size_t> cutsOf(const std::string &input);

private:
    static constexpr std::size_t maximumBytes = 6000;

    std::size_t below(std::size_t bound) { return bound == 0 ? 0 : random_() % bound; }
    void mutate(std::string &input);

    std::vector<std::string> seeds_;
    std::mt19937_64 random_;
};

} // namespace boragetrack::tests
