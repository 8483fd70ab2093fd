/** Tests of settings, announcements and the native dialect with valid and invalid input. */
#include "daemon/frontends/AnnouncementReader.h"
#include "daemon/settings/SettingsReader.h"
#include "transport/callers/CallBuilder.h"
#include "transport/dialect/NativeDialect.h"

#include <gmock/gmock.h>

using namespace boragetrack;
using core::findings::FindingList;
using testing::HasSubstr;

namespace {

const char *const validSettings = R"({
  "node": "n1", "dataCentre": "ikeja", "operatorToken": "operators-token", "seeds": [],
  "callers": {"host": "127.0.0.1", "port": 1001}, "peers": {"host": "127.0.0.1", "port": 1002},
  "operators": {"host": "127.0.0.1", "port": 1003},
  "platform": {"host": "127.0.0.1", "port": 1004}})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST(SettingsReader, acceptsValidSettings)
{
    FindingList findings("s.json");
    const auto settings = daemon::settings::readSettings(validSettings, findings);
    ASSERT_TRUE(settings) << findings.toString();
    EXPECT_EQ(settings->peers.port, 1002);
}

TEST(SettingsReader, reportsTheLocationOfEachFault)
{
    const std::pair<std::string, std::string> faults[]
            = {{replaced(validSettings, "\"node\": \"n1\"", "\"node\": \"n1\", \"colour\": 1"),
                "colour"},
               {replaced(validSettings, "\"port\": 1001", "\"port\": \"1001\""), "/callers/port"},
               {replaced(validSettings, "1002", "1001"), "/peers/port"},
               {replaced(validSettings, "127.0.0.1", "localhost"), "/callers/host"},
               {replaced(validSettings, "operators-token", "short"), "/operatorToken"},
               {"{", "not JSON"}};
    for (const auto &[text, location] : faults) {
        FindingList findings("s.json");
        EXPECT_FALSE(daemon::settings::readSettings(text, findings));
        EXPECT_THAT(findings.toString(), HasSubstr(location)) << text;
    }
}

TEST(SettingsReader, reportsSeveralFaultsTogether)
{
    FindingList findings("s.json");
    const std::string text
            = replaced(replaced(validSettings, "1002", "1001"), "127.0.0.1", "nowhere");
    EXPECT_FALSE(daemon::settings::readSettings(text, findings));
    EXPECT_GE(findings.findings().size(), 1U);
}

TEST(Announcement, isRefusedForAnotherVmAndForInvalidFields)
{
    const std::string valid = R"({"service": "s", "version": "v1", "host": "127.0.0.1",
        "port": 2000, "slots": 10, "state": "serving", "instance": "1"})";
    FindingList none("a");
    EXPECT_TRUE(daemon::frontends::readAnnouncement(valid, "127.0.0.1", none));
    for (const std::string &invalid :
         {replaced(valid, "127.0.0.1", "127.0.0.9"), replaced(valid, "serving", "resting"),
          replaced(valid, "10", "-1"), std::string("[]")}) {
        FindingList findings("a");
        EXPECT_FALSE(daemon::frontends::readAnnouncement(invalid, "127.0.0.1", findings));
        EXPECT_FALSE(findings.isEmpty());
    }
}

TEST(CallerProtocol, distinguishesNotRunUnknownAndFailed)
{
    using traffic::calls::CallResponse;
    const transport::dialect::NativeDialect dialect;
    EXPECT_EQ(dialect.refusalHead(CallResponse::notRun("x")).status, 503);
    EXPECT_EQ(dialect.refusalHead(CallResponse::unknown("x")).status, 504);
    CallResponse failed;
    failed.outcome = traffic::calls::CallOutcome::Completed;
    failed.status = 500;
    EXPECT_EQ(dialect.responseHeaders(failed).back().value, "ran-and-failed");
}

TEST(CallerProtocol, forwardsDeadlineHopsAndAttempt)
{
    using transport::callers::refusalReason;
    const transport::dialect::NativeDialect dialect;
    control::intent::ResolvedRoute route;
    route.settings.callTimeout = std::chrono::milliseconds(800);
    transport::http::RequestHead head{"POST", "/x", {}};
    const auto build = [&]() {
        return transport::callers::buildCall(head, dialect.describe(head), route, {});
    };
    head.headers = {{"x-deadline-ms", "300"},
                    {"X-Hop-Count", "15"},
                    {"X-Boragetrack-Attempt", "2"},
                    {"Idempotency-Key", "k"}};
    const auto call = build();
    EXPECT_EQ(call.budget, std::chrono::milliseconds(300));
    EXPECT_EQ(call.hops, 16);
    EXPECT_EQ(call.attempt, 2);
    EXPECT_EQ(call.key.value(), "k");
    EXPECT_FALSE(call.isIdempotent);
    EXPECT_FALSE(refusalReason(call));
    head.headers[1].value = "16";
    EXPECT_TRUE(refusalReason(build()));
    head.headers = {{"X-Deadline-Ms", "0"}};
    EXPECT_TRUE(refusalReason(build()));
}

TEST(SettingsReader, putsUrgentRequestsFirstIfASettingOrATermAsksForIt)
{
    const auto read = [](const std::string &fields) {
        const std::string text = R"({"interface": "platform", "node": "n1", "dataCentre": "ikeja",
            "service": "payments", "callers": "127.0.0.1:1001", "announcements": "127.0.0.1:1002",
            "readiness": "127.0.0.1:1003", "peers": "127.0.0.1:1004", "operators": "127.0.0.1:1005",
            "platform": "127.0.0.1:1006", "dataCentres": ["ikeja"], "seeds": [])"
                                 + fields + "}";
        core::findings::FindingList findings("settings");
        const auto settings = daemon::settings::readSettings(text, findings);
        return settings ? std::optional(settings->isUrgencyFirst) : std::nullopt;
    };
    EXPECT_EQ(read(""), false);
    EXPECT_EQ(read(R"(, "contracts": [])"), false);
    EXPECT_EQ(read(R"(, "contracts": ["unheard-of"])"), false);
    EXPECT_EQ(read(R"(, "contracts": ["unheard-of", "pressure"])"), true);
    EXPECT_EQ(read(R"(, "urgencyFirst": true)"), true);
    EXPECT_EQ(read(R"(, "urgencyFirst": false, "contracts": ["pressure"])"), false);
    EXPECT_EQ(read(R"(, "urgencyFirst": "yes")"), std::nullopt);
    FindingList findings("s.json");
    const auto native = daemon::settings::readSettings(
            replaced(validSettings, "\"seeds\"", "\"urgencyFirst\": true, \"seeds\""), findings);
    ASSERT_TRUE(native) << findings.toString();
    EXPECT_TRUE(native->isUrgencyFirst);
}

// Guards against a memory budget that comes from a wrong number, and against a node that does not
// start where the platform does not tell the memory.
TEST(SettingsReader, readsTheMemoryOfTheVm)
{
    const auto read = [](const std::string &memory) {
        const std::string text = R"({"interface": "platform", "node": "n1", "dataCentre": "ikeja",
            "service": "payments", "callers": "127.0.0.1:1001", "announcements": "127.0.0.1:1002",
            "readiness": "127.0.0.1:1003", "peers": "127.0.0.1:1004", "operators": "127.0.0.1:1005",
            "platform": "127.0.0.1:1006", "dataCentres": ["ikeja"], "seeds": [],
            "memoryMegabytes": )" + memory
                                 + "}";
        core::findings::FindingList findings("settings");
        const auto settings = daemon::settings::readSettings(text, findings);
        EXPECT_EQ(settings.has_value(), findings.isEmpty()) << findings.toString();
        return settings ? settings->memoryBytes : std::optional<std::size_t>(0);
    };
    EXPECT_EQ(read("160"), 160'000'000);
    EXPECT_EQ(read(R"("160")"), 160'000'000);
    EXPECT_EQ(read(R"("")"), std::nullopt);
    for (const char *bad : {"0", "63", "-1", R"("much")", R"("nan")", "1e12", "null"})
        EXPECT_EQ(read(bad), 0) << bad;
}

// An older platform fills in nothing where the template names the grace period.
TEST(SettingsReader, takesTheDefaultForAnEmptyGracePeriod)
{
    const auto read = [](const std::string &grace) {
        const std::string text = R"({"interface": "platform", "node": "n1", "dataCentre": "ikeja",
            "service": "payments", "callers": "127.0.0.1:1001", "announcements": "127.0.0.1:1002",
            "readiness": "127.0.0.1:1003", "peers": "127.0.0.1:1004", "operators": "127.0.0.1:1005",
            "platform": "127.0.0.1:1006", "dataCentres": ["ikeja"], "seeds": [],
            "graceSeconds": )" + grace
                                 + "}";
        core::findings::FindingList findings("settings");
        const auto settings = daemon::settings::readSettings(text, findings);
        EXPECT_EQ(settings.has_value(), findings.isEmpty()) << findings.toString();
        return settings ? std::optional(settings->stopGracePeriod) : std::nullopt;
    };
    EXPECT_EQ(read(R"("")"), daemon::settings::NodeSettings().stopGracePeriod);
    EXPECT_EQ(read(R"("7.5")"), std::chrono::milliseconds(7500));
    EXPECT_EQ(read("9"), std::chrono::seconds(9));
    for (const char *bad : {R"("1")", R"("soon")", R"("nan")", "1", "null", R"("1e9")"})
        EXPECT_EQ(read(bad), std::nullopt) << bad;
}

// A platform fills the template with texts or values; one without the terms leaves the object out.
TEST(SettingsReader, readsHowLongKeysMayBeUsed)
{
    using std::chrono::milliseconds;
    const auto read = [](const std::string &interface, const std::string &freshness) {
        const std::string text = R"({"interface": ")" + interface + R"(", "node": "n1",
            "dataCentre": "ikeja", "operatorToken": "operators-token",
            "service": "payments", "callers": "127.0.0.1:1001", "announcements": "127.0.0.1:1002",
            "readiness": "127.0.0.1:1003", "peers": "127.0.0.1:1004", "operators": "127.0.0.1:1005",
            "platform": "127.0.0.1:1006", "dataCentres": ["ikeja"], "seeds": []
            )" + freshness + "}";
        core::findings::FindingList findings("settings");
        const auto settings = daemon::settings::readSettings(text, findings);
        EXPECT_EQ(settings.has_value(), findings.isEmpty()) << findings.toString();
        return settings ? std::optional(settings->keyFreshness) : std::nullopt;
    };
    EXPECT_FALSE(read("platform", "")->isStrict);
    for (const char *strict : {"true", R"("true")", R"("True")"}) {
        const auto limits = read("platform", std::string(R"(, "keyFreshness": {"strict": )")
                                                     + strict + R"(, "limitSeconds": 2.5})");
        ASSERT_TRUE(limits) << strict;
        EXPECT_TRUE(limits->isStrict);
        EXPECT_EQ(limits->limit, milliseconds(2500));
    }
    for (const char *lenient : {"false", R"("false")", R"("")"})
        EXPECT_FALSE(read("platform", std::string(R"(, "keyFreshness": {"strict": )") + lenient
                                              + R"(, "limitSeconds": 2})")
                             ->isStrict);
    for (const char *bad : {R"({"strict": "perhaps", "limitSeconds": 2})", R"({"strict": true})",
                            R"({"strict": true, "limitSeconds": -1})", "7"})
        EXPECT_FALSE(read("platform", std::string(R"(, "keyFreshness": )") + bad)) << bad;
    // The native store can't be probed, so that its nodes would refuse callers without a cause.
    EXPECT_FALSE(read("own", R"(, "keyFreshness": {"strict": true, "limitSeconds": 2})"));
    EXPECT_TRUE(read("own", R"(, "keyFreshness": {"strict": false, "limitSeconds": 2})"));
}
