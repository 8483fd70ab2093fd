/** A short run of the fuzz targets, the same each time. Longer runs are started by hand. */
#include "tests/fuzz/FuzzTargets.h"
#include "tests/fuzz/Mutator.h"

#include <gtest/gtest.h>

using namespace boragetrack::tests;

namespace {

// Some seconds of processor time for each target.
constexpr int inputsOfEachTarget = 10'000;

void runTarget(const std::string &name)
{
    const auto targets = makeFuzzTargets();
    const FuzzTarget &target = *targets.at(name);
    Mutator mutator(target.seeds(), 1);
    for (int i = 0; i < inputsOfEachTarget; ++i) {
        const std::string input = mutator.next();
        const auto difference = target.run(input, mutator.cutsOf(input));
        ASSERT_FALSE(difference) << "input " << i << ":\n" << input << "\n" << *difference;
    }
}

} // namespace

// No bytes from outside may end the process, or be read differently when the network cuts them.
TEST(Fuzz, requests)
{
    runTarget("requests");
}

TEST(Fuzz, responses)
{
    runTarget("responses");
}

TEST(Fuzz, responsesToHeadRequests)
{
    runTarget("head-responses");
}

TEST(Fuzz, links)
{
    runTarget("links");
}
