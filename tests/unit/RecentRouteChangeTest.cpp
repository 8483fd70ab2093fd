/** Tests which calls count as being on a route that a change has just touched. */
#include "traffic/routing/RecentRouteChange.h"
#include "RecordedEvents.h"
#include "TestIntent.h"
#include "control/intent/IntentParser.h"
#include "core/events/ScopedEventSink.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using control::intent::IntentSnapshot;
using core::events::EventCode;
using core::identity::Revision;
using core::identity::RouteName;
using std::chrono::milliseconds;
using traffic::routing::IntentHistory;

namespace {

const auto start = core::timing::MonotonicTime{} + std::chrono::hours(1);

// With a route to payments and, unless empty, one of a longer prefix.
std::shared_ptr<const IntentSnapshot> intentOf(std::uint64_t revision, const char *longService)
{
    nlohmann::json json = tests::intentJson();
    json["services"].push_back({{"name", "catalogue"}, {"version", "v1"}});
    if (*longService != '\0')
        json["routes"].push_back({{"name", "long"},
                                  {"pathPrefix", "/payments/deposits/long"},
                                  {"service", longService}});
    core::findings::FindingList findings("intent");
    auto document = control::intent::readIntent(json, findings);
    EXPECT_TRUE(document) << findings.toString();
    return std::make_shared<IntentSnapshot>(Revision(revision), *document,
                                            core::identity::DataCentreId("ikeja"),
                                            core::timing::WallTime{});
}

class RecentRouteChangeTest : public testing::Test
{
protected:
    RecentRouteChangeTest() { apply("catalogue", milliseconds(-60'000)); }

    void apply(const char *longService, milliseconds at)
    {
        const auto intent = intentOf(++revision_, longService);
        snapshot_.history = std::make_shared<const IntentHistory>(
                snapshot_.history->with(intent, start + at));
        snapshot_.intent = intent;
    }

    bool hasChanged(const char *path, milliseconds at) const
    {
        return hasRouteChanged(snapshot_, "", path, start + at);
    }

    bool hasChanged(const RouteName &route, milliseconds at) const
    {
        return hasRouteChanged(snapshot_, route, start + at);
    }

    std::uint64_t revision_ = 0;
    traffic::routing::RoutingSnapshot snapshot_;
};

} // namespace

TEST_F(RecentRouteChangeTest, noticesAMovedRouteForFiveSeconds)
{
    apply("payments", milliseconds(0));
    EXPECT_TRUE(hasChanged("/payments/deposits/long/1", milliseconds(4999)));
    EXPECT_TRUE(hasChanged(RouteName("long"), milliseconds(4999)));
    EXPECT_FALSE(hasChanged("/payments/deposits/1", milliseconds(4999)));
    EXPECT_FALSE(hasChanged(RouteName("deposits"), milliseconds(4999)));
    EXPECT_FALSE(hasChanged("/payments/deposits/long/1", milliseconds(5000)));
}

// Guards against lost lines of the calls that a shorter prefix covers since a route was dropped.
TEST_F(RecentRouteChangeTest, noticesADroppedAndAnAddedRoute)
{
    apply("", milliseconds(0));
    EXPECT_TRUE(hasChanged("/payments/deposits/long/1", milliseconds(100)));
    EXPECT_TRUE(hasChanged(RouteName("long"), milliseconds(100)));
    apply("catalogue", milliseconds(10'000));
    EXPECT_TRUE(hasChanged("/payments/deposits/long/1", milliseconds(10'100)));
    EXPECT_TRUE(hasChanged(RouteName("long"), milliseconds(10'100)));
}

// Guards against a further change that makes the one before seem long ago.
TEST_F(RecentRouteChangeTest, remembersAChangeWhileFurtherOnesFollow)
{
    apply("payments", milliseconds(0));
    for (int i = 1; i <= 24; ++i)
        apply("payments", milliseconds(200 * i));
    EXPECT_TRUE(hasChanged(RouteName("long"), milliseconds(4999)));
    apply("payments", milliseconds(5000));
    EXPECT_FALSE(hasChanged(RouteName("long"), milliseconds(5000)));
}

// Guards against calls on changed routes whose lines are suppressed among those of all others.
TEST(CallLog, writesTenLinesOfCallsOnChangedRoutesBeyondTheLimit)
{
    tests::RecordedEvents events;
    const core::events::ScopedEventSink sink(events);
    for (int i = 0; i < 200; ++i)
        core::events::logCall(EventCode::CallAnswered, "call ended", true, {});
    const auto ordinary = events.count(EventCode::CallAnswered);
    EXPECT_LT(ordinary, 200);
    for (int i = 0; i < 200; ++i)
        core::events::logCallOnChangedRoute(EventCode::CallServed, "call served", true, {});
    EXPECT_GE(events.count(EventCode::CallServed), 10);
    EXPECT_LT(events.count(EventCode::CallServed), 200);
}
