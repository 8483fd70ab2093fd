/** Tests which nodes a process contacts because they may know no other node. */
#include "control/distribution/PeerIntroducer.h"

#include <gtest/gtest.h>
#include <set>

using namespace boragetrack;
using control::distribution::PeerIntroducer;
using core::identity::NetworkAddress;
using core::timing::MonotonicTime;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds roundPeriod{200};

NetworkAddress address(std::uint16_t number)
{
    return {"10.0.0.1", number};
}

class PeerIntroducerTest : public testing::Test
{
protected:
    PeerIntroducerTest() { introducer_.start(now_); }

    std::vector<NetworkAddress> nextRound()
    {
        now_ += roundPeriod;
        return introducer_.takeRound(now_);
    }

    MonotonicTime now_ = MonotonicTime{} + std::chrono::hours(1);
    std::mt19937_64 random_{1};
    PeerIntroducer introducer_{random_};
};

} // namespace

TEST_F(PeerIntroducerTest, contactsEachFoundNodeAFewTimesAtMost)
{
    introducer_.nodeFound(address(1), now_);
    introducer_.nodeFound(address(2), now_);
    introducer_.recordContact(address(2));
    int contacts = 0;
    for (int round = 0; round < 100; ++round) {
        for (const NetworkAddress &contacted : nextRound()) {
            EXPECT_EQ(contacted, address(1)) << "the other one was heard from";
            ++contacts;
        }
    }
    EXPECT_EQ(contacts, PeerIntroducer::foundAttempts);
}

// The fleet may have hundreds of nodes, which all start at once. The last contact may fall into the
// middle of a round.
TEST_F(PeerIntroducerTest, limitsTheContactsOfAStartingProcess)
{
    introducer_.nodeFound(address(901), now_);
    EXPECT_EQ(nextRound().size(), 1U);
    for (std::uint16_t number = 1; number <= 900; ++number)
        introducer_.nodeFound(address(number), now_);
    std::set<NetworkAddress> contacted;
    std::size_t contacts = 1;
    for (int round = 0; round < 100; ++round) {
        const auto due = nextRound();
        EXPECT_LE(due.size(), PeerIntroducer::contactsPerRound);
        contacts += due.size();
        contacted.insert(due.begin(), due.end());
    }
    EXPECT_EQ(contacts, static_cast<std::size_t>(PeerIntroducer::maximumContacts));
    EXPECT_GT(contacted.size(), contacts / 2);
}

TEST_F(PeerIntroducerTest, contactsNoNodeFoundLongAfterTheStart)
{
    introducer_.nodeFound(address(1), now_ + PeerIntroducer::startPeriod);
    EXPECT_TRUE(nextRound().empty());
}

TEST_F(PeerIntroducerTest, onlyAFewOfManyMembersContactALostNode)
{
    int contacting = 0;
    for (int member = 0; member < 900; ++member) {
        introducer_.nodeLost(address(1), 900, now_);
        contacting += nextRound().empty() ? 0 : 1;
        introducer_.recordContact(address(1));
    }
    EXPECT_GT(contacting, 0);
    EXPECT_LT(contacting, 2 * static_cast<int>(PeerIntroducer::contactsOfLostNode));
}
