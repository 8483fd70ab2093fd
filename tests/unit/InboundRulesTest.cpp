/** Tests what the node beside an upstream lets through. */
#include "traffic/inbound/InboundRules.h"
#include "control/intent/IntentParser.h"
#include "tests/unit/TestIntent.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using control::membership::UpstreamRecord;
using control::membership::UpstreamState;
using core::identity::ServiceName;
using core::identity::VersionName;

namespace {

class InboundRulesTest : public testing::Test
{
protected:
    InboundRulesTest()
    {
        request_.service = ServiceName("payments");
        request_.route = core::identity::RouteName("deposits");
        request_.version = VersionName("v1");
        load(tests::intentJson());
    }

    void load(const nlohmann::json &json, const control::moves::RouteShare &share = {})
    {
        core::findings::FindingList findings("intent");
        auto document = control::intent::readIntent(json, findings);
        ASSERT_TRUE(document) << findings.toString();
        snapshot_ = std::make_unique<traffic::routing::RoutingSnapshot>();
        snapshot_->dataCentre = core::identity::DataCentreId("ikeja");
        snapshot_->intent = std::make_shared<control::intent::IntentSnapshot>(
                core::identity::Revision(1), *document, snapshot_->dataCentre,
                core::timing::WallTime{});
        for (const auto &entry : snapshot_->intent->routes())
            snapshot_->targets.push_back({entry, share, {}});
    }

    bool isLetThrough() const
    {
        return !traffic::inbound::refusalReason(request_, upstream_, *snapshot_);
    }

    traffic::calls::CallRequest request_;
    std::optional<UpstreamRecord> upstream_{
            UpstreamRecord{ServiceName("payments"), VersionName("v1"), UpstreamState::Serving, 9}};
    std::unique_ptr<traffic::routing::RoutingSnapshot> snapshot_;
};

} // namespace

TEST_F(InboundRulesTest, letsACallForItsUpstreamThrough)
{
    EXPECT_TRUE(isLetThrough());
}

TEST_F(InboundRulesTest, refusesWithoutAnUpstreamOfTheServiceAndVersion)
{
    request_.service = ServiceName("catalogue");
    EXPECT_FALSE(isLetThrough());
    request_.service = ServiceName("payments");
    request_.version = VersionName("v2");
    EXPECT_FALSE(isLetThrough());
    upstream_.reset();
    EXPECT_FALSE(isLetThrough());
}

TEST_F(InboundRulesTest, refusesForAnUpstreamThatLeaves)
{
    upstream_->state = UpstreamState::Draining;
    EXPECT_FALSE(isLetThrough());
}

TEST_F(InboundRulesTest, refusesInADataCentreThatIsOut)
{
    nlohmann::json json = tests::intentJson();
    json["dataCentres"][0]["out"] = true;
    load(json);
    EXPECT_FALSE(isLetThrough());
}

TEST_F(InboundRulesTest, refusesAVersionThatTakesNoCalls)
{
    load(tests::intentJson(), {{}, {}, 0.0, VersionName("v1")});
    EXPECT_FALSE(isLetThrough());
    load(tests::intentJson(), {VersionName("v2"), VersionName("v1"), 4.0, {}});
    EXPECT_TRUE(isLetThrough());
}

TEST_F(InboundRulesTest, letsACallOfARouteThatOnlyItsSenderKnowsThrough)
{
    request_.route = core::identity::RouteName("newer");
    EXPECT_TRUE(isLetThrough());
}
