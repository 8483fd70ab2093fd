/** Tests of the parsing, validation and resolution of intents. */
#include "control/intent/IntentParser.h"
#include "control/intent/IntentSnapshot.h"
#include "control/intent/SettingResolver.h"
#include "tests/unit/TestIntent.h"

#include <gmock/gmock.h>

using namespace boragetrack;
using core::findings::FindingList;
using nlohmann::json;
using testing::HasSubstr;

TEST(IntentParser, reportsAllFindingsWithTheirLocations)
{
    json document = tests::intentJson();
    document["routes"][0]["service"] = "nowhere";
    document["defaults"]["unheardOf"] = 1;
    document["defaults"]["attemptLimit"] = 99;
    FindingList findings("file.json");
    EXPECT_FALSE(control::intent::readIntent(document, findings));
    EXPECT_EQ(findings.findings().size(), 3U) << findings.toString();
    EXPECT_THAT(findings.toString(), HasSubstr("file.json#/routes/0/service: unknown service"));
    EXPECT_THAT(findings.toString(), HasSubstr("file.json#/defaults/unheardOf: unknown setting"));
    EXPECT_THAT(findings.toString(), HasSubstr("file.json#/defaults/attemptLimit"));
}

TEST(IntentParser, refusesBrokenJsonUnknownFieldsAndOversize)
{
    for (const std::string &text : {std::string("{"), std::string(R"({"surplus": 1})"),
                                    std::string(control::intent::maximumDocumentBytes + 1, ' ')}) {
        FindingList findings("file.json");
        EXPECT_FALSE(control::intent::parseIntent(text, findings));
        EXPECT_FALSE(findings.isEmpty());
    }
}

TEST(IntentParser, refusesASecondRunningMoveOfAService)
{
    json document = tests::intentJson();
    document["moves"].push_back(tests::moveJson("m1", "payments"));
    document["moves"].push_back(tests::moveJson("m2", "payments"));
    FindingList findings("intent");
    EXPECT_FALSE(control::intent::readIntent(document, findings));
    EXPECT_THAT(findings.toString(), HasSubstr("already has a running move"));
}

TEST(SettingResolver, letsTheNarrowestUnexpiredExceptionWin)
{
    json document = tests::intentJson();
    document["exceptions"] = json::array(
            {tests::exceptionJson("wide", {{"service", "payments"}}, 700),
             tests::exceptionJson("narrow", {{"route", "deposits"}}, 900),
             tests::exceptionJson("over", {{"route", "deposits"}, {"service", "payments"}}, 100)});
    document["exceptions"][2]["expiresAt"] = "2026-12-01T00:00:00Z";
    FindingList findings("intent");
    const auto read = control::intent::readIntent(document, findings);
    ASSERT_TRUE(read) << findings.toString();
    const auto now = *core::timing::parseWallTime("2026-12-04T00:00:00Z");
    const control::intent::SettingResolver resolver(*read, core::identity::DataCentreId("ikeja"),
                                                    now);
    const auto resolution = resolver.explain(read->routes[0], "callTimeoutMs");
    EXPECT_EQ(resolution.value, 900);
    EXPECT_EQ(resolution.origin, "narrow");
    EXPECT_EQ(resolution.overridden, "wide");
    EXPECT_EQ(resolver.explain(read->routes[0], "attemptLimit").origin, "default");
}

TEST(IntentSnapshot, matchesTheLongestPrefixOfWholeSegments)
{
    json document = tests::intentJson();
    document["routes"].push_back(
            {{"name", "all"}, {"pathPrefix", "/payments"}, {"service", "payments"}});
    FindingList findings("intent");
    auto read = control::intent::readIntent(document, findings);
    ASSERT_TRUE(read);
    const control::intent::IntentSnapshot snapshot(core::identity::Revision(1), *read,
                                                   core::identity::DataCentreId("ikeja"), {});
    EXPECT_EQ(snapshot.routeFor("", "/payments/deposits/7")->route.name.value(), "deposits");
    EXPECT_EQ(snapshot.routeFor("", "/payments/other")->route.name.value(), "all");
    EXPECT_EQ(snapshot.routeFor("", "/paymentsX"), nullptr);
}
