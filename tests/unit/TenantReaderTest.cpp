/** Tests that organisations and public routes are read from the platform's configuration, and that
   no finding reveals a key. */
#include "platform/ConfigurationReader.h"

#include <gmock/gmock.h>

using namespace boragetrack;
using control::intent::IntentDocument;
using control::intent::KeyDigest;
using core::findings::FindingList;
using testing::HasSubstr;
using testing::Not;

namespace {

// Returns a configuration with one rule. Both texts are JSON, the first that of further fields.
std::string configurationWith(const std::string &fields, const std::string &ruleFields = "")
{
    return R"({"listeners": [{"host": "a.example", "ruleSet": [{"name": "r", "priority": 2,
        "match": {"prefix": "/r/"}, "action": {"service": "s"})"
           + ruleFields + R"(}]}], "clusters": [{"name": "s"}])" + fields + "}";
}

std::optional<IntentDocument> read(const std::string &text)
{
    FindingList findings("configuration");
    auto document = platform::readConfiguration(text, findings);
    EXPECT_TRUE(document) << findings.toString();
    return document;
}

} // namespace

TEST(TenantReaderTest, readsNamesKeysAndPriorities)
{
    const auto document = read(configurationWith(
            R"(, "tenants": [{"name": "pulo 780", "apiKeys": ["k-1", "k/2=="], "priority": 3},
                             {"name": "kabo51", "apiKeys": [], "priority": null}])"));
    ASSERT_TRUE(document && document->organisations);
    const auto &organisations = *document->organisations;
    ASSERT_EQ(organisations.size(), 2U);
    EXPECT_EQ(organisations[0].name.value(), "pulo 780");
    EXPECT_EQ(organisations[0].priority, 3);
    ASSERT_EQ(organisations[0].keys.size(), 2U);
    EXPECT_TRUE(organisations[0].keys[1] == KeyDigest::of("k/2=="));
    EXPECT_TRUE(organisations[1].keys.empty());
    EXPECT_EQ(organisations[1].priority, std::nullopt);
}

// Without the field nobody needs a key; with an empty list everybody does and nobody has one.
TEST(TenantReaderTest, distinguishesAnEmptyListFromNone)
{
    EXPECT_EQ(read(configurationWith(""))->organisations.has_value(), false);
    const auto document = read(configurationWith(R"(, "tenants": [])"));
    ASSERT_TRUE(document->organisations);
    EXPECT_TRUE(document->organisations->empty());
}

TEST(TenantReaderTest, readsPublicRoutes)
{
    EXPECT_FALSE(read(configurationWith(""))->routes.at(0).isPublic);
    EXPECT_FALSE(read(configurationWith("", R"(, "publicAccess": false)"))->routes.at(0).isPublic);
    EXPECT_TRUE(read(configurationWith("", R"(, "publicAccess": true)"))->routes.at(0).isPublic);
}

// Half-read tenants would refuse callers for good; a name with a line feed would add header fields
// to upstreams' requests; findings are logged, and logs must not contain keys.
TEST(TenantReaderTest, reportsThePlaceOfEachFaultWithoutAnyKey)
{
    const std::pair<const char *, const char *> faults[]
            = {{R"({"name": "SECRET"})", "/tenants"},
               {"null", "/tenants"},
               {R"("SECRET")", "/tenants"},
               {R"(["SECRET"])", "/tenants/0/name"},
               {R"([{"apiKeys": ["SECRET"]}])", "/tenants/0/name"},
               {R"([{"name": "", "apiKeys": ["SECRET"]}])", "/tenants/0/name"},
               {R"([{"name": 7, "apiKeys": ["SECRET"]}])", "/tenants/0/name"},
               {R"([{"name": "a\r\nX: y", "apiKeys": ["SECRET"]}])", "/tenants/0/name"},
               {R"([{"name": " a", "apiKeys": ["SECRET"]}])", "/tenants/0/name"},
               {R"([{"name": "a"}])", "/tenants/0/apiKeys"},
               {R"([{"name": "a", "apiKeys": "SECRET"}])", "/tenants/0/apiKeys"},
               {R"([{"name": "a", "apiKeys": {"SECRET": 1}}])", "/tenants/0/apiKeys"},
               {R"([{"name": "a", "apiKeys": ["x", ["SECRET"]]}])", "/tenants/0/apiKeys/1"},
               {R"([{"name": "a", "apiKeys": ["SECRET key"]}])", "/tenants/0/apiKeys/0"},
               {R"([{"name": "a", "apiKeys": ["SECRET\n"]}])", "/tenants/0/apiKeys/0"},
               {R"([{"name": "a", "apiKeys": [""]}])", "/tenants/0/apiKeys/0"},
               {R"([{"name": "a", "apiKeys": ["SECRET"], "priority": -1}])", "/tenants/0/priority"},
               {R"([{"name": "a", "apiKeys": ["SECRET"], "priority": "SECRET"}])",
                "/tenants/0/priority"}};
    for (const auto &[tenants, place] : faults) {
        FindingList findings("configuration");
        const std::string text = configurationWith(std::string(R"(, "tenants": )") + tenants);
        EXPECT_FALSE(platform::readConfiguration(text, findings)) << tenants;
        EXPECT_THAT(findings.toString(), HasSubstr(place)) << tenants;
        EXPECT_THAT(findings.toString(), Not(HasSubstr("SECRET"))) << tenants;
    }
    FindingList findings("configuration");
    EXPECT_FALSE(platform::readConfiguration(configurationWith("", R"(, "publicAccess": "yes")"),
                                             findings));
    EXPECT_THAT(findings.toString(), HasSubstr("/listeners/0/ruleSet/0/publicAccess"));
}

TEST(TenantReaderTest, namesNoKeyOfATextThatIsNotJson)
{
    FindingList findings("configuration");
    EXPECT_FALSE(platform::readConfiguration(R"({"tenants": [{"apiKeys": ["SECRET"}]})", findings));
    EXPECT_THAT(findings.toString(), Not(HasSubstr("SECRET")));
}

// The wrong one of two organisations with the same name or key would get their requests.
TEST(TenantReaderTest, refusesNamesAndKeysThatClash)
{
    for (const char *tenants :
         {R"([{"name": "a", "apiKeys": ["SECRET-1"]}, {"name": "a", "apiKeys": ["SECRET-2"]}])",
          R"([{"name": "a", "apiKeys": ["SECRET-1"]}, {"name": "b", "apiKeys": ["SECRET-1"]}])"}) {
        FindingList findings("configuration");
        const std::string text = configurationWith(std::string(R"(, "tenants": )") + tenants);
        EXPECT_FALSE(platform::readConfiguration(text, findings)) << tenants;
        EXPECT_THAT(findings.toString(), Not(HasSubstr("SECRET")));
        EXPECT_THAT(findings.toString(), Not(HasSubstr(KeyDigest::of("SECRET-1").prefix())));
    }
}
