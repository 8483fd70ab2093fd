/** Tests when routing snapshots are published, and what successive ones share. */
#include "daemon/service/RoutingPublisher.h"
#include "control/membership/RingNeighbours.h"
#include "control/moves/StandardMovePolicies.h"
#include "core/timing/ManualTimerService.h"

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

class SilentTransport : public control::distribution::PeerTransport
{
public:
    void sendExchange(const PeerContact & /*peer*/, const Exchange & /*exchange*/) override {}
    void pushIntent(const PeerContact & /*peer*/, const IntentTransfer & /*transfer*/) override {}
    void fetchIntent(const PeerContact & /*peer*/, core::identity::Revision /*have*/) override {}
    void fetchMembers(const PeerContact & /*peer*/,
                      const control::membership::MemberTable::BucketHashes & /*hashes*/) override
    {}
};

class RoutingPublisherTest : public testing::Test, public ControlPlane::Listener
{
protected:
    void viewChanged() override { publisher_.viewChanged(); }
    void intentInForce() override {}
    void intentRefused() override {}
    void memberChanged(const MemberRecord * /*previous*/, const MemberRecord & /*record*/) override
    {
        publisher_.memberChanged();
    }
    void dataCentreSilent(const core::identity::DataCentreId & /*dataCentre*/) override {}
    void moveStopped(const control::intent::MoveIntent & /*move*/,
                     const std::string & /*evidence*/) override
    {}

    static ControlPlane::Dependencies dependencies()
    {
        ControlPlane::Dependencies result;
        result.self.id = NodeId("self");
        result.self.dataCentre = core::identity::DataCentreId("ikeja");
        result.neighbours = std::make_unique<control::membership::RingNeighbours>();
        result.movePolicies = std::make_unique<control::moves::StandardMovePolicies>();
        result.wallClock = [] { return core::timing::WallTime{}; };
        return result;
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
    SilentTransport transport_;
    core::timing::ManualTimerService timers_;
    ControlPlane plane_{dependencies(), transport_, timers_, *this};
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
