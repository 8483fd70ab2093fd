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

namespace {

std::string digestOf(const std::string &key)
{
    return control::intent::KeyDigest::of(key).toHex();
}

json organisationJson(const std::string &name, const std::vector<std::string> &keys)
{
    json object{{"name", name}, {"keys", json::array()}};
    for (const std::string &key : keys)
        object["keys"].push_back(digestOf(key));
    return object;
}

std::string findingsOf(const json &document)
{
    FindingList findings("intent");
    EXPECT_FALSE(control::intent::readIntent(document, findings));
    return findings.toString();
}

} // namespace

TEST(IntentParser, readsOrganisationsAndPublicRoutes)
{
    json document = tests::intentJson();
    FindingList findings("intent");
    auto read = control::intent::readIntent(document, findings);
    ASSERT_TRUE(read) << findings.toString();
    EXPECT_FALSE(read->organisations);
    EXPECT_FALSE(read->routes[0].isPublic);
    document["organisations"] = json::array();
    document["routes"][0]["public"] = true;
    read = control::intent::readIntent(document, findings);
    ASSERT_TRUE(read) << findings.toString();
    ASSERT_TRUE(read->organisations);
    EXPECT_TRUE(read->organisations->empty());
    EXPECT_TRUE(read->routes[0].isPublic);
    document["organisations"]
            = {organisationJson("pulo780", {"k1", "k2"}), organisationJson("kabo51", {})};
    document["organisations"][0]["priority"] = 0;
    read = control::intent::readIntent(document, findings);
    ASSERT_TRUE(read) << findings.toString();
    const auto &organisations = *read->organisations;
    ASSERT_EQ(organisations.size(), 2U);
    EXPECT_EQ(organisations[0].name.value(), "pulo780");
    EXPECT_EQ(organisations[0].priority, 0);
    ASSERT_EQ(organisations[0].keys.size(), 2U);
    EXPECT_EQ(organisations[0].keys[1], control::intent::KeyDigest::of("k2"));
    EXPECT_FALSE(organisations[1].priority);
}

// Two organisations with one key could not be told apart. Findings are logged by nodes, so that
// they must name the places of keys and nothing of the keys.
TEST(IntentParser, refusesOrganisationsWithTheSameNameOrKey)
{
    json document = tests::intentJson();
    document["organisations"]
            = {organisationJson("pulo780", {"k1", "k2", "k1"}), organisationJson("kabo51", {"k2"}),
               organisationJson("pulo780", {}), organisationJson("", {})};
    const std::string findings = findingsOf(document);
    EXPECT_THAT(findings, HasSubstr("#/organisations/0/keys/2: the same key as "
                                    "/organisations/0/keys/0"));
    EXPECT_THAT(findings, HasSubstr("#/organisations/1/keys/0: the same key as "
                                    "/organisations/0/keys/1"));
    EXPECT_THAT(findings, HasSubstr("#/organisations/2/name: 'pulo780' appears twice"));
    EXPECT_THAT(findings, HasSubstr("#/organisations/3/name: must not be empty"));
    for (const char *key : {"k1", "k2"})
        EXPECT_THAT(findings, testing::Not(HasSubstr(digestOf(key).substr(0, 12))));
}

// Guards against a refusal that repeats a key, written in place of its digest, in logs or on
// screens, and against names that would break the header field in which the upstream gets them.
TEST(IntentParser, refusesKeysThatAreNoDigestsWithoutRepeatingThem)
{
    const std::string secret = "secret-key-of-pulo780";
    json document = tests::intentJson();
    document["organisations"]
            = {organisationJson("pulo780", {}), organisationJson("a\r\nb: c", {})};
    document["organisations"][0]["keys"] = {secret, digestOf(secret) + "0"};
    const std::string findings = findingsOf(document);
    EXPECT_THAT(findings, HasSubstr("#/organisations/0/keys/0"));
    EXPECT_THAT(findings, HasSubstr("#/organisations/0/keys/1"));
    EXPECT_THAT(findings, HasSubstr("#/organisations/1/name"));
    EXPECT_THAT(findings, testing::Not(HasSubstr(secret)));
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
