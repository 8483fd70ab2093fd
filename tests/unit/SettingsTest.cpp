/** Tests settings, announcements and the callers' protocol against bad input. */
#include "daemon/frontends/AnnouncementReader.h"
#include "daemon/settings/SettingsReader.h"
#include "transport/callers/CallBuilder.h"
#include "transport/dialect/NativeDialect.h"

#include <gmock/gmock.h>

using namespace boragetrack;
using core::findings::FindingList;
using testing::HasSubstr;

namespace {

const char *const goodSettings = R"({
  "node": "n1", "dataCentre": "ikeja", "operatorToken": "operators-token", "seeds": [],
  "callers": {"host": "127.0.0.1", "port": 1001}, "peers": {"host": "127.0.0.1", "port": 1002},
  "operators": {"host": "127.0.0.1", "port": 1003},
  "platform": {"host": "127.0.0.1", "port": 1004}})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST(SettingsReader, takesGoodSettings)
{
    FindingList findings("s.json");
    const auto settings = daemon::settings::readSettings(goodSettings, findings);
    ASSERT_TRUE(settings) << findings.toString();
    EXPECT_EQ(settings->peers.port, 1002);
}

TEST(SettingsReader, namesThePlaceOfEachFault)
{
    const std::pair<std::string, std::string> faults[]
            = {{replaced(goodSettings, "\"node\": \"n1\"", "\"node\": \"n1\", \"colour\": 1"),
                "colour"},
               {replaced(goodSettings, "\"port\": 1001", "\"port\": \"1001\""), "/callers/port"},
               {replaced(goodSettings, "1002", "1001"), "/peers/port"},
               {replaced(goodSettings, "127.0.0.1", "localhost"), "/callers/host"},
               {replaced(goodSettings, "operators-token", "short"), "/operatorToken"},
               {"{", "not JSON"}};
    for (const auto &[text, place] : faults) {
        FindingList findings("s.json");
        EXPECT_FALSE(daemon::settings::readSettings(text, findings));
        EXPECT_THAT(findings.toString(), HasSubstr(place)) << text;
    }
}

TEST(SettingsReader, reportsSeveralFaultsTogether)
{
    FindingList findings("s.json");
    const std::string text
            = replaced(replaced(goodSettings, "1002", "1001"), "127.0.0.1", "nowhere");
    EXPECT_FALSE(daemon::settings::readSettings(text, findings));
    EXPECT_GE(findings.findings().size(), 1U);
}

TEST(Announcement, isRefusedForAnotherVmAndForBadFields)
{
    const std::string good = R"({"service": "s", "version": "v1", "host": "127.0.0.1",
        "port": 2000, "slots": 10, "state": "serving", "instance": "1"})";
    FindingList none("a");
    EXPECT_TRUE(daemon::frontends::readAnnouncement(good, "127.0.0.1", none));
    for (const std::string &bad :
         {replaced(good, "127.0.0.1", "127.0.0.9"), replaced(good, "serving", "resting"),
          replaced(good, "10", "-1"), std::string("[]")}) {
        FindingList findings("a");
        EXPECT_FALSE(daemon::frontends::readAnnouncement(bad, "127.0.0.1", findings));
        EXPECT_FALSE(findings.isEmpty());
    }
}

TEST(CallerProtocol, tellsTheThreeRefusalsApart)
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

TEST(CallerProtocol, carriesDeadlineHopsAndAttemptAlong)
{
    using transport::callers::refusalReason;
    const transport::dialect::NativeDialect dialect;
    control::intent::ResolvedRoute entry;
    entry.settings.callTimeout = std::chrono::milliseconds(800);
    transport::http::RequestHead head{"POST", "/x", {}};
    const auto build = [&]() {
        return transport::callers::buildCall(head, dialect.describe(head), entry, {});
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
