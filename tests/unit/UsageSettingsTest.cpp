/** Tests the settings of usage reports with valid and invalid input. */
#include "daemon/settings/SettingsReader.h"

#include <gmock/gmock.h>

using namespace boragetrack;
using core::findings::FindingList;
using daemon::settings::NodeSettings;
using daemon::settings::UsageReportSettings;
using std::chrono::milliseconds;

namespace {

std::optional<NodeSettings> read(const std::string &fields, FindingList &findings,
                                 const std::string &interface = "platform")
{
    const std::string text = R"({"node": "n1", "dataCentre": "ikeja", "operatorToken": "a-token-",
        "service": "payments", "callers": "127.0.0.1:1001", "announcements": "127.0.0.1:1002",
        "readiness": "127.0.0.1:1003", "peers": "127.0.0.1:1004", "operators": "127.0.0.1:1005",
        "platform": "127.0.0.1:1006", "dataCentres": ["ikeja"], "seeds": [], "interface": ")"
                             + interface + "\"" + fields + "}";
    return daemon::settings::readSettings(text, findings);
}

// Returns the settings of usage reports; fails the test if there are findings.
std::optional<UsageReportSettings> readValid(const std::string &fields)
{
    FindingList findings("settings");
    const auto settings = read(fields, findings);
    EXPECT_TRUE(settings) << fields << ": " << findings.toString();
    return settings ? settings->usageReports : std::nullopt;
}

} // namespace

TEST(UsageSettings, areReadAsThePlatformRendersThem)
{
    const auto settings = readValid(R"(, "usageReports": {"receiver": "10.0.0.9:8080",
        "windowSeconds": "5", "lateSeconds": "10.0", "leaseSeconds": "3", "callsPerSecond": "50"},
        "duties": ["other", "usage"])");
    ASSERT_TRUE(settings);
    EXPECT_EQ(settings->receiver.toString(), "10.0.0.9:8080");
    EXPECT_EQ(settings->timing.windowPeriod, milliseconds(5000));
    EXPECT_EQ(settings->timing.reportDelay, milliseconds(10'000));
    EXPECT_EQ(settings->timing.leaseTime, milliseconds(3000));
    // Two holders in succession keep within 50 calls a second.
    EXPECT_EQ(settings->timing.callInterval, milliseconds(40));
}

// A platform that does not know a value fills in an empty text.
TEST(UsageSettings, haveDefaults)
{
    const auto settings = readValid(R"(, "usageReports": {"receiver": "10.0.0.9:8080",
        "windowSeconds": "", "leaseSeconds": 2.5})");
    ASSERT_TRUE(settings);
    const control::usage::UsageSettings defaults;
    EXPECT_EQ(settings->timing.windowPeriod, defaults.windowPeriod);
    EXPECT_EQ(settings->timing.reportDelay, defaults.reportDelay);
    EXPECT_EQ(settings->timing.leaseTime, milliseconds(2500));
    EXPECT_EQ(settings->timing.callInterval, defaults.callInterval);
}

// Reports that nobody asked for would be refused, or paid for.
TEST(UsageSettings, applyOnlyIfTheDutyIsNamed)
{
    EXPECT_FALSE(readValid(""));
    EXPECT_FALSE(readValid(R"(, "duties": ["usage"])"));
    EXPECT_FALSE(readValid(R"(, "usageReports": {"receiver": ""}, "duties": [])"));
    EXPECT_FALSE(readValid(R"(, "usageReports": {"receiver": "10.0.0.9:8080"},
        "duties": ["other"])"));
    EXPECT_TRUE(readValid(R"(, "usageReports": {"receiver": "10.0.0.9:8080"})"));
}

TEST(UsageSettings, areRefusedWithTheLocationOfTheFault)
{
    const std::pair<std::string, std::string> faults[] = {
            {R"({"receiver": "localhost:1"})", "/usageReports/receiver"},
            {R"({})", "/usageReports"},
            {R"({"receiver": "10.0.0.9:1", "colour": 1})", "colour"},
            {R"({"receiver": "10.0.0.9:1", "windowSeconds": 0})", "/usageReports/windowSeconds"},
            {R"({"receiver": "10.0.0.9:1", "windowSeconds": "x"})", "/usageReports/windowSeconds"},
            {R"({"receiver": "10.0.0.9:1", "windowSeconds": "nan"})",
             "/usageReports/windowSeconds"},
            {R"({"receiver": "10.0.0.9:1", "lateSeconds": -1})", "/usageReports/lateSeconds"},
            {R"({"receiver": "10.0.0.9:1", "leaseSeconds": 1e9})", "/usageReports/leaseSeconds"},
            {R"({"receiver": "10.0.0.9:1", "callsPerSecond": 0})", "/usageReports/callsPerSecond"}};
    for (const auto &[section, location] : faults) {
        FindingList findings("settings");
        EXPECT_FALSE(read(", \"usageReports\": " + section, findings)) << section;
        EXPECT_THAT(findings.toString(), testing::HasSubstr(location)) << section;
    }
}

// The native store has no leases, by which the duty is held.
TEST(UsageSettings, areRefusedWithTheNativeInterface)
{
    FindingList findings("settings");
    EXPECT_FALSE(read(R"(, "usageReports": {"receiver": "10.0.0.9:8080"})", findings, "own"));
    EXPECT_THAT(findings.toString(), testing::HasSubstr("/usageReports"));
}

// A node that goes on with the earlier receiver must say so.
TEST(UsageSettings, needARestartWhenTheyChange)
{
    FindingList findings("settings");
    const auto one = read(R"(, "usageReports": {"receiver": "10.0.0.9:8080"})", findings);
    const auto other = read(R"(, "usageReports": {"receiver": "10.0.0.9:8081"})", findings);
    const auto none = read("", findings);
    ASSERT_TRUE(one && other && none) << findings.toString();
    EXPECT_TRUE(one->hasSameFixedSettings(*one));
    EXPECT_FALSE(one->hasSameFixedSettings(*other));
    EXPECT_FALSE(one->hasSameFixedSettings(*none));
}
