/** Tests the parts that make a keyed request run at most once. */
#include "traffic/deduplication/ClaimQuorum.h"
#include "traffic/deduplication/ClaimRegister.h"
#include "traffic/deduplication/RegistrarChoice.h"
#include "traffic/deduplication/ReplayTable.h"

#include <gtest/gtest.h>
#include <random>
#include <set>

using namespace boragetrack;
using namespace boragetrack::traffic::deduplication;
using core::identity::IdempotencyKey;
using core::identity::NodeId;
using core::timing::MonotonicTime;
using traffic::routing::Registrar;

namespace {

std::vector<Registrar> members(int count, int dataCentres)
{
    std::vector<Registrar> list;
    for (int i = 0; i < count; ++i) {
        const std::string id = "n" + std::to_string(i);
        list.push_back({NodeId(id),
                        NodeId(id + "@1"),
                        {},
                        core::identity::DataCentreId("dc" + std::to_string(i % dataCentres))});
    }
    return list;
}

} // namespace

TEST(ReplayTable, returnsTheStoredResponseToADuplicate)
{
    ReplayTable table;
    const IdempotencyKey key("k");
    EXPECT_EQ(table.begin(key), ReplayState::New);
    EXPECT_EQ(table.begin(key), ReplayState::Running);
    traffic::calls::CallResponse response;
    response.outcome = traffic::calls::CallOutcome::Completed;
    response.body = "paid";
    table.finish(key, response, {});
    EXPECT_EQ(table.begin(key), ReplayState::Finished);
    EXPECT_EQ(table.response(key)->body, "paid");
}

TEST(ReplayTable, removesReleasedAndExpiredKeys)
{
    ReplayTable table;
    const IdempotencyKey key("k");
    table.begin(key);
    table.release(key);
    EXPECT_EQ(table.begin(key), ReplayState::New);
    table.finish(key, {}, {});
    table.expire(MonotonicTime{} + ReplayTable::retentionTime);
    EXPECT_EQ(table.begin(key), ReplayState::New);
}

TEST(ClaimRegister, keepsTheFirstClaimUntilItsHolderReleasesIt)
{
    ClaimRegister claims;
    const IdempotencyKey key("k");
    EXPECT_EQ(claims.claim(key, NodeId("a@1"), {}), NodeId("a@1"));
    EXPECT_EQ(claims.claim(key, NodeId("b@1"), {}), NodeId("a@1"));
    EXPECT_EQ(claims.claim(key, NodeId("a@2"), {}), NodeId("a@1"))
            << "a restarted node is another claimant";
    claims.release(key, NodeId("b@1"));
    EXPECT_EQ(claims.claim(key, NodeId("b@1"), {}), NodeId("a@1"));
    claims.release(key, NodeId("a@1"));
    EXPECT_EQ(claims.claim(key, NodeId("b@1"), {}), NodeId("b@1"));
}

TEST(RegistrarChoice, usesDifferentDataCentresAndIgnoresTheOrderOfMembers)
{
    auto list = members(20, 4);
    const auto chosen = chooseRegistrars(IdempotencyKey("k"), list, 3);
    std::set<std::string> dataCentres;
    for (const Registrar &registrar : chosen)
        dataCentres.insert(registrar.dataCentre.value());
    EXPECT_EQ(dataCentres.size(), 3U);
    std::reverse(list.begin(), list.end());
    const auto again = chooseRegistrars(IdempotencyKey("k"), list, 3);
    for (std::size_t i = 0; i < chosen.size(); ++i)
        EXPECT_EQ(again[i].node, chosen[i].node);
}

// Three claimants reach three registrars in random orders, while requests and responses are lost at
// random. Two claimants must never both get the claim.
TEST(ClaimQuorum, neverGrantsTwoClaimantsUnderRandomLossAndOrder)
{
    int granted = 0;
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        std::mt19937_64 random(seed);
        std::vector<ClaimRegister> registers(ClaimQuorum::registrarCount);
        const std::vector<NodeId> claimants{NodeId("a@1"), NodeId("b@1"), NodeId("c@1")};
        std::vector<ClaimQuorum> quorums;
        quorums.reserve(claimants.size());
        for (const NodeId &claimant : claimants)
            quorums.emplace_back(claimant, registers.size());
        std::vector<std::pair<std::size_t, std::size_t>> messages;
        for (std::size_t c = 0; c < claimants.size(); ++c) {
            for (std::size_t r = 0; r < registers.size(); ++r)
                messages.emplace_back(c, r);
        }
        std::shuffle(messages.begin(), messages.end(), random);
        for (const auto &[c, r] : messages) {
            const bool isRequestLost = random() % 5 == 0;
            const bool isResponseLost = random() % 5 == 0;
            if (isRequestLost)
                continue;
            const NodeId holder = registers[r].claim(IdempotencyKey("k"), claimants[c], {});
            if (!isResponseLost)
                quorums[c].recordResponse(holder);
        }
        int winners = 0;
        for (const ClaimQuorum &quorum : quorums)
            winners += quorum.isGranted();
        EXPECT_LE(winners, 1) << "seed " << seed;
        granted += winners;
    }
    EXPECT_GT(granted, 500) << "the test must also grant claims";
}
