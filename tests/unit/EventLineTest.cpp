/** Checks the text form of log events. */
#include "core/events/EventLine.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using core::events::EventCode;
using core::events::eventLine;

namespace {

constexpr core::timing::WallTime loggedAt{std::chrono::seconds(1'796'000'000)};

} // namespace

// Guards against lines whose severity readers have to guess from the words.
TEST(EventLine, namesTheLevelBetweenTheTimeAndTheEvent)
{
    const std::string stamp = core::timing::formatWallTimeMillis(loggedAt);
    EXPECT_EQ(eventLine(loggedAt, EventCode::StoreUnavailable, "platform unavailable",
                        {{"held", "5"}}),
              stamp + " WARN E210 platform unavailable held=5");
    EXPECT_EQ(eventLine(loggedAt, EventCode::StoreRecovered, "platform available again", {}),
              stamp + " INFO E211 platform available again");
    EXPECT_EQ(eventLine(loggedAt, EventCode::IntentRefused, "intent refused", {}),
              stamp + " ERROR E201 intent refused");
}

TEST(EventLine, quotesValuesThatAreNotPlain)
{
    const std::string line = eventLine(loggedAt, EventCode::StoreRecovered, "m",
                                       {{"a", ""}, {"b", "c d"}, {"e", "f\ng\"h"}});
    EXPECT_TRUE(line.ends_with(" m a=\"\" b=\"c d\" e=\"f g\\\"h\"")) << line;
}
