/** Tests the decoding of heartbeats and the ordering of announcements of successive upstreams. */
#include "platform/HeartbeatReader.h"

#include "control/membership/AnnouncementFilter.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using control::membership::AnnouncementFilter;
using control::membership::AnnouncementStamp;
using control::membership::UpstreamState;
using core::timing::WallTime;
using std::chrono::milliseconds;

namespace {

const std::string good = R"({"service":"payments","address":"10.0.0.9:8080","zone":"ikeja",
  "version":"v1","slots":9,"state":"ready","coldLeftS":2.5,"seqNum":4,"born":1760000000000})";

AnnouncementStamp stamp(const std::string &instance, std::uint64_t sequence, int startedAt)
{
    return {instance, sequence, WallTime(milliseconds(startedAt))};
}

} // namespace

TEST(HeartbeatReader, readsAHeartbeat)
{
    core::findings::FindingList findings("heartbeat");
    const auto heartbeat = platform::readHeartbeat("i-1", good, findings);
    ASSERT_TRUE(heartbeat) << findings.toString();
    EXPECT_EQ(heartbeat->status.record.state, UpstreamState::Serving);
    EXPECT_EQ(heartbeat->status.address.port, 8080);
    EXPECT_EQ(heartbeat->status.coldLeft, milliseconds(2500));
    EXPECT_EQ(heartbeat->stamp.sequence, 4U);
    EXPECT_EQ(heartbeat->stamp.startedAt, WallTime(milliseconds(1'760'000'000'000)));
}

// review/3: a heartbeat with fields missing displaced the server for good.
TEST(HeartbeatReader, refusesHeartbeatsThatLackAFieldOrHaveOneOfAnotherType)
{
    const std::string beginning
            = R"({"service":"payments","address":"10.0.0.9:8080","version":"v1","slots":9,"state":"ready")";
    const std::string sound = R"(,"zone":"ikeja","coldLeftS":0,"seqNum":4)";
    core::findings::FindingList none("heartbeat");
    EXPECT_TRUE(platform::readHeartbeat("i-1", beginning + sound + "}", none)) << "without born";
    for (const std::string &rest :
         {std::string(), std::string(R"(,"coldLeftS":0,"seqNum":4)"),
          std::string(R"(,"zone":"ikeja","seqNum":4)"),
          std::string(R"(,"zone":"ikeja","coldLeftS":0)"),
          std::string(R"(,"zone":7,"coldLeftS":0,"seqNum":4)"),
          std::string(R"(,"zone":"ikeja","coldLeftS":"0","seqNum":4)"),
          std::string(R"(,"zone":"ikeja","coldLeftS":0,"seqNum":4.5)"), sound + R"(,"born":"x")",
          sound + R"(,"born":1.5)", sound + R"(,"born":null)"}) {
        core::findings::FindingList findings("heartbeat");
        EXPECT_FALSE(platform::readHeartbeat("i-1", beginning + rest + "}", findings)) << rest;
        EXPECT_FALSE(findings.isEmpty());
    }
}

TEST(HeartbeatReader, refusesMalformedAndIncompleteHeartbeats)
{
    for (const std::string &bad :
         {std::string("not json"), std::string("[]"), std::string("{}"),
          std::string(
                  R"({"service":7,"address":"10.0.0.9:1","version":"v","slots":1,"state":"ready"})"),
          std::string(
                  R"({"service":"s","address":"nowhere","version":"v","slots":1,"state":"ready"})"),
          std::string(
                  R"({"service":"s","address":"10.0.0.9:1","version":"v","slots":1,"state":"odd"})"),
          std::string(
                  R"({"service":"s","address":"10.0.0.9:1","version":"v","slots":"1","state":"ready"})")}) {
        core::findings::FindingList findings("heartbeat");
        EXPECT_FALSE(platform::readHeartbeat("i-1", bad, findings)) << bad;
        EXPECT_FALSE(findings.isEmpty());
    }
}

TEST(AnnouncementFilter, ignoresLateAnnouncementsOfTheSameProcess)
{
    AnnouncementFilter filter;
    EXPECT_TRUE(filter.accept(stamp("i-1", 5, 100), false));
    EXPECT_FALSE(filter.accept(stamp("i-1", 4, 100), false));
    EXPECT_FALSE(filter.accept(stamp("i-1", 5, 100), false));
    EXPECT_TRUE(filter.accept(stamp("i-1", 6, 100), false));
}

TEST(AnnouncementFilter, neverReturnsALeavingProcessToServing)
{
    AnnouncementFilter filter;
    filter.accept(stamp("i-1", 5, 100), false);
    EXPECT_TRUE(filter.accept({"i-1", 0, std::nullopt}, true))
            << "a departure may lack its start time";
    EXPECT_FALSE(filter.accept(stamp("i-1", 7, 100), false));
    EXPECT_TRUE(filter.isLeaving());
}

TEST(AnnouncementFilter, ignoresLateAnnouncementsOfAReplacedProcess)
{
    AnnouncementFilter filter;
    filter.accept(stamp("i-1", 90, 100), false);
    EXPECT_TRUE(filter.accept(stamp("i-2", 1, 200), false));
    EXPECT_FALSE(filter.accept(stamp("i-1", 91, 100), false));
}

TEST(AnnouncementFilter, replacesNoProcessThatGaveItsStartTimeByOneThatDoesNot)
{
    AnnouncementFilter filter;
    EXPECT_TRUE(filter.accept(stamp("i-1", 5, 100), false));
    EXPECT_FALSE(filter.accept({"i-2", 1, std::nullopt}, false));
    EXPECT_TRUE(filter.accept(stamp("i-1", 6, 100), false)) << "it is not replaced";
}

TEST(AnnouncementFilter, acceptsARestartUnderTheSameNameAsANewProcess)
{
    AnnouncementFilter filter;
    filter.accept(stamp("i-1", 90, 100), true);
    EXPECT_TRUE(filter.accept(stamp("i-1", 1, 200), false));
    EXPECT_FALSE(filter.isLeaving());
    EXPECT_FALSE(filter.accept(stamp("i-1", 91, 100), true));
}

// Another writer may announce anything.
TEST(HeartbeatReader, survivesOddValues)
{
    const auto with = [](const std::string &field, const std::string &value) {
        const std::size_t at = good.find("\"" + field + "\":") + field.size() + 3;
        const std::size_t end = good.find_first_of(",}", at);
        return good.substr(0, at) + value + good.substr(end);
    };
    const std::string nested = std::string(100'000, '[') + std::string(100'000, ']');
    const std::vector<std::string> oddValues{"1e308",
                                             "-1e308",
                                             "1e400",
                                             "18446744073709551616",
                                             "18446744073709551615",
                                             "-1",
                                             "NaN",
                                             "\"\\ud800\"",
                                             "{}",
                                             nested,
                                             "\"\xff\"",
                                             "0.1",
                                             "null"};
    for (const std::string &value : oddValues) {
        for (const char *field :
             {"service", "address", "version", "slots", "state", "coldLeftS", "seqNum", "born"}) {
            core::findings::FindingList findings("heartbeat");
            const auto heartbeat = platform::readHeartbeat("i-1", with(field, value), findings);
            EXPECT_EQ(heartbeat.has_value(), findings.isEmpty());
            if (!heartbeat)
                continue;
            const auto &status = heartbeat->status;
            EXPECT_GE(status.record.slots, 0) << field << value.substr(0, 30);
            EXPECT_GE(status.coldLeft.count(), 0) << field << value.substr(0, 30);
            EXPECT_LT(status.coldLeft, std::chrono::hours(24 * 400));
            EXPECT_GE(heartbeat->stamp.startedAt.value_or(WallTime{}), WallTime{});
        }
    }
    for (const char *address : {"\"10.0.0.9:0\"", "\"10.0.0.9:70000\"", "\"10.0.0.9:-1\"",
                                "\"10.0.0.9:99999999999999999999\"", "\"10.0.0.9\"", "\":1\"",
                                "\"host.example:80\"", "\"\""}) {
        core::findings::FindingList findings("heartbeat");
        std::string text = good;
        text.replace(text.find("\"10.0.0.9:8080\""), 15, address);
        EXPECT_FALSE(platform::readHeartbeat("i-1", text, findings)) << address;
    }
}
