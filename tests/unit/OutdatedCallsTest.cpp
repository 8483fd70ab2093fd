/** Tests that calls which were routed by an outdated intent do not run by it. */
#include "traffic/inbound/OutdatedCalls.h"
#include "ControlPlaneTest.h"
#include "TestIntent.h"
#include "control/intent/IntentParser.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using control::intent::IntentSnapshot;
using core::identity::NodeId;
using core::identity::Revision;
using std::chrono::milliseconds;
using traffic::routing::IntentHistory;

namespace {

const auto start = core::timing::MonotonicTime{} + std::chrono::hours(1);

std::shared_ptr<const IntentSnapshot> intentOf(std::uint64_t revision, const char *service)
{
    nlohmann::json json = tests::intentJson();
    json["services"].push_back({{"name", "catalogue"}, {"version", "v1"}});
    json["routes"][0]["service"] = service;
    core::findings::FindingList findings("intent");
    auto document = control::intent::readIntent(json, findings);
    EXPECT_TRUE(document) << findings.toString();
    return std::make_shared<IntentSnapshot>(Revision(revision), *document,
                                            core::identity::DataCentreId("ikeja"),
                                            core::timing::WallTime{});
}

/** A node whose route moved from payments (revision 5) to catalogue (revision 7) at the start. */
class OutdatedCallsTest : public testing::Test
{
protected:
    OutdatedCallsTest()
    {
        request_.route = core::identity::RouteName("deposits");
        request_.service = core::identity::ServiceName("payments");
        request_.intentRevision = Revision(5);
        apply(intentOf(5, "payments"), start - std::chrono::seconds(10));
        apply(intentOf(7, "catalogue"), start);
    }

    void apply(const std::shared_ptr<const IntentSnapshot> &intent, core::timing::MonotonicTime now)
    {
        snapshot_.history
                = std::make_shared<const IntentHistory>(snapshot_.history->with(intent, now));
        snapshot_.intent = intent;
    }

    bool isOutdatedAfter(milliseconds time) const
    {
        return traffic::inbound::isOutdated(request_, snapshot_, start + time);
    }

    traffic::calls::CallRequest request_;
    traffic::routing::RoutingSnapshot snapshot_;
};

} // namespace

// Guards against a node that learns of no change and has its calls run by the old intent for good.
TEST_F(OutdatedCallsTest, refusesCallsOfAnIntentThatWasReplacedLongAgo)
{
    EXPECT_FALSE(isOutdatedAfter(IntentHistory::settleTime - milliseconds(1)))
            << "nodes differ for moments after each change";
    EXPECT_TRUE(isOutdatedAfter(IntentHistory::settleTime));
    EXPECT_TRUE(isOutdatedAfter(std::chrono::hours(1)));
}

// Guards against a storm of changes, in which the latest intent is never old.
TEST_F(OutdatedCallsTest, refusesThemAlsoWhileFurtherChangesFollow)
{
    for (int i = 1; i <= 10; ++i)
        apply(intentOf(7U + static_cast<std::uint64_t>(i), "catalogue"),
              start + milliseconds(200) * i);
    EXPECT_TRUE(isOutdatedAfter(milliseconds(2000)));
}

TEST_F(OutdatedCallsTest, acceptsCallsThatTheIntentAllows)
{
    request_.service = core::identity::ServiceName("catalogue");
    EXPECT_FALSE(isOutdatedAfter(std::chrono::hours(1)));
}

// A sender that is ahead may route by a change that this node lacks.
TEST_F(OutdatedCallsTest, acceptsCallsOfALaterIntentAndOfPeersThatDoNotTell)
{
    request_.intentRevision = Revision(8);
    EXPECT_FALSE(isOutdatedAfter(std::chrono::hours(1)));
    request_.intentRevision = Revision{};
    EXPECT_FALSE(isOutdatedAfter(std::chrono::hours(1)));
}

TEST_F(OutdatedCallsTest, acceptsCallsOnARouteThatMovedBack)
{
    apply(intentOf(9, "payments"), start + milliseconds(1700));
    EXPECT_FALSE(isOutdatedAfter(milliseconds(1800)));
}

using ControlPlaneIntentTest = tests::ControlPlaneTest;

// Guards against a node that waits for polls and watches while responses show that it is late.
TEST_F(ControlPlaneIntentTest, fetchesALaterIntentThatAResponseToACallHasShown)
{
    plane_.storeValueReceived(tests::envelopeText(5));
    plane_.storeFollowingChanged(false);
    const control::distribution::PeerContact peer{NodeId("peer"), {"10.0.0.2", 7000}};
    plane_.laterIntentSeen(peer, Revision(5));
    EXPECT_TRUE(transport_.intentsFetchedFrom.empty());
    plane_.laterIntentSeen(peer, Revision(6));
    ASSERT_EQ(transport_.intentsFetchedFrom.size(), 1U);
    EXPECT_EQ(plane_.storeKnowledge().reported, Revision(6));
}
