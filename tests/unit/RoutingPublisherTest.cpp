/** Tests when routing snapshots are published, and what successive ones share. */
#include "daemon/service/RoutingPublisher.h"
#include "ControlPlaneTest.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using control::distribution::ControlPlane;
using control::distribution::Exchange;
using control::distribution::IntentTransfer;
using control::distribution::PeerContact;
using control::membership::MemberRecord;
using core::identity::NodeId;
using daemon::service::RoutingPublisher;
using std::chrono::milliseconds;
using traffic::routing::RoutingSnapshot;

namespace {

class RoutingPublisherTest : public tests::ControlPlaneTest
{
protected:
    void viewChanged() override { publisher_.viewChanged(); }
    void memberChanged(const MemberRecord * /*previous*/, const MemberRecord & /*record*/) override
    {
        publisher_.memberChanged();
    }
    void addMembers(int first, int count)
    {
        std::vector<MemberRecord> records;
        for (int i = first; i < first + count; ++i) {
            MemberRecord record;
            record.id = NodeId("n" + std::to_string(i));
            record.dataCentre = core::identity::DataCentreId("ikeja");
            record.upstream.service = core::identity::ServiceName("items");
            record.upstream.state = control::membership::UpstreamState::Serving;
            records.push_back(record);
        }
        plane_.membersReceived(records);
    }

    // Returns the snapshot that is published after the given time.
    std::shared_ptr<const RoutingSnapshot> after(milliseconds time)
    {
        timers_.advance(time);
        publisher_.update(plane_, timers_.now());
        return routing_.current();
    }

    core::concurrency::Published<RoutingSnapshot> routing_{std::make_shared<RoutingSnapshot>()};
    RoutingPublisher publisher_{routing_};
};

} // namespace

TEST_F(RoutingPublisherTest, sharesTheMembersWhileOnlyTheSharesChange)
{
    addMembers(0, 3);
    const auto first = after(milliseconds(200));
    viewChanged();
    const auto second = after(milliseconds(200));
    EXPECT_NE(first, second);
    EXPECT_EQ(first->members, second->members);
    EXPECT_EQ(second->endpointsOf(core::identity::ServiceName("items")).size(), 3U);
}

TEST_F(RoutingPublisherTest, buildsTheMembersAgainAfterOneChanged)
{
    addMembers(0, 3);
    after(milliseconds(200));
    addMembers(3, 1);
    viewChanged();
    const auto second = after(milliseconds(200));
    EXPECT_EQ(second->endpointsOf(core::identity::ServiceName("items")).size(), 4U);
}

TEST_F(RoutingPublisherTest, publishesLessOftenInALargeDeployment)
{
    addMembers(0, 400);
    const auto first = after(milliseconds(300));
    EXPECT_EQ(first->members->registrars.size(), 401U);
    addMembers(400, 1);
    EXPECT_EQ(after(milliseconds(150)), first);
    EXPECT_EQ(after(milliseconds(60))->members->registrars.size(), 402U);
}

TEST_F(RoutingPublisherTest, publishesInTimeInAnyDeployment)
{
    addMembers(0, 2000);
    after(RoutingPublisher::maximumInterval);
    addMembers(2000, 1);
    EXPECT_EQ(after(RoutingPublisher::maximumInterval)->members->registrars.size(), 2002U);
}

TEST_F(RoutingPublisherTest, publishesAnIntentAtOnce)
{
    addMembers(0, 400);
    const auto first = after(milliseconds(300));
    publisher_.intentInForce(plane_, timers_.now());
    EXPECT_NE(routing_.current(), first);
}
