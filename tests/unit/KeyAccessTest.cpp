/** Tests which requests are served by the keys of callers' organisations, and on whose behalf. */
#include "traffic/access/KeyAccess.h"
#include "traffic/access/KeyFreshness.h"
#include "traffic/access/OpenAccess.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using control::intent::KeyDigest;
using control::intent::Organisation;
using control::intent::Route;
using core::identity::OrganisationName;
using std::chrono::milliseconds;
using traffic::access::AccessDecision;
using traffic::access::AccessRequest;
using traffic::access::AccessVerdict;
using traffic::access::KeyAccess;
using traffic::access::KeyFreshness;

namespace {

const OrganisationName pulo("pulo780");
const OrganisationName kabo("kabo51");

class KeyAccessTest : public testing::Test
{
protected:
    static std::vector<Organisation> organisations()
    {
        return {{pulo, {KeyDigest::of("pulo-1"), KeyDigest::of("pulo-2")}, std::nullopt},
                {kabo, {KeyDigest::of("kabo-1")}, 4}};
    }

    // Decides about a request with the values of its Authorization fields.
    AccessDecision decide(std::vector<std::string> authorizations)
    {
        request_.authorizations = std::move(authorizations);
        return access_.decide(request_);
    }

    Route route_;
    AccessRequest request_{route_};
    KeyAccess access_{organisations()};
};

} // namespace

// An organisation with several keys uses them at the same time while it replaces one by another.
TEST_F(KeyAccessTest, identifiesTheOrganisationByEachOfItsKeys)
{
    for (const char *key : {"pulo-1", "pulo-2"}) {
        const AccessDecision decision = decide({std::string("Bearer ") + key});
        EXPECT_EQ(decision.verdict, AccessVerdict::Granted);
        EXPECT_EQ(decision.organisation, pulo);
        EXPECT_EQ(decision.priority, std::nullopt);
    }
    EXPECT_EQ(decide({"Bearer kabo-1"}).priority, 4);
}

// Names of schemes have no case (RFC 7235); a caller that writes another one has a key all the
// same.
TEST_F(KeyAccessTest, readsTheSchemeInAnyCase)
{
    for (const char *scheme : {"bearer", "BEARER", "bEaReR"})
        EXPECT_EQ(decide({std::string(scheme) + " pulo-1"}).organisation, pulo) << scheme;
}

// Each form that passes for a key without being one lets in whoever finds it.
TEST_F(KeyAccessTest, refusesEverythingElseForGood)
{
    const std::vector<std::vector<std::string>> malformed
            = {{},
               {""},
               {"Bearer"},
               {"Bearer "},
               {"Bearer  pulo-1"},
               {"Bearer\tpulo-1"},
               {" Bearer pulo-1"},
               {"Bearer pulo-1 "},
               {"Bearer pulo-1,pulo-1"},
               {"Bearer pulo-1 x"},
               {"Bearer pulo-"},
               {"Bearer pulo-1\xe9"},
               {std::string("Bearer pulo-1\0", 14)},
               {"Bearer " + std::string(257, 'k')},
               {"Bearers pulo-1"},
               {"Basic pulo-1"},
               {"pulo-1"},
               {"Bearer unknown"},
               {"Bearer " + KeyDigest::of("pulo-1").toHex()},
               {"Bearer pulo-1", "Bearer pulo-1"},
               {"Bearer pulo-1", ""}};
    for (const auto &values : malformed) {
        const AccessDecision decision = decide(values);
        EXPECT_EQ(decision.verdict, AccessVerdict::Unauthorized) << testing::PrintToString(values);
        EXPECT_TRUE(decision.organisation.isEmpty());
        EXPECT_FALSE(decision.reason.empty());
        EXPECT_EQ(decision.reason.find("pulo"), std::string::npos) << "reasons are logged";
    }
}

TEST_F(KeyAccessTest, takesKeysOfAllTokenCharactersUpToTheGreatestLength)
{
    const std::string longest = "-._~+/=" + std::string(249, 'k');
    const KeyAccess access({{pulo, {KeyDigest::of(longest)}, {}}});
    request_.authorizations = {"Bearer " + longest};
    EXPECT_EQ(access.decide(request_).organisation, pulo);
}

// A public route must not fail callers for what they send; a known key still tells who they are.
TEST_F(KeyAccessTest, servesPublicRoutesWithAnyKeyOrNone)
{
    route_.isPublic = true;
    request_.areKeysCurrent = false;
    request_.hasNestedForm = true;
    for (const auto &values : std::vector<std::vector<std::string>>{
                 {}, {"Bearer unknown"}, {"Basic x"}, {"Bearer kabo-1", "Bearer kabo-1"}}) {
        const AccessDecision decision = decide(values);
        EXPECT_EQ(decision.verdict, AccessVerdict::Granted);
        EXPECT_TRUE(decision.organisation.isEmpty());
        EXPECT_EQ(decision.priority, std::nullopt);
    }
    EXPECT_EQ(decide({"Bearer kabo-1"}).organisation, kabo);
    EXPECT_EQ(decide({"Bearer kabo-1"}).priority, 4);
}

// Upstreams have no keys. What they call must belong to the organisation whose request they run,
// and must not be refused because this node lacks news of the store.
TEST_F(KeyAccessTest, nestedCallsInheritTheOrganisationAndItsPriority)
{
    request_.hasNestedForm = true;
    request_.areKeysCurrent = false;
    request_.parentOrganisation = kabo;
    EXPECT_EQ(decide({}).organisation, kabo);
    EXPECT_EQ(decide({}).priority, 4);
    request_.parentOrganisation = OrganisationName();
    EXPECT_EQ(decide({}).verdict, AccessVerdict::Granted);
    EXPECT_TRUE(decide({}).organisation.isEmpty());
    // Of an organisation that was removed while its request runs.
    request_.parentOrganisation = OrganisationName("gone");
    EXPECT_EQ(decide({}).organisation.value(), "gone");
}

// After a restart the node can't know what its upstream is running: a refusal for good would end
// that work, and access would let in anybody who writes a dot.
TEST_F(KeyAccessTest, leavesNestedCallsWithoutAKnownParentUndecided)
{
    request_.hasNestedForm = true;
    EXPECT_EQ(decide({}).verdict, AccessVerdict::Undecided);
    EXPECT_EQ(decide({"Bearer unknown"}).verdict, AccessVerdict::Unauthorized);
    EXPECT_EQ(decide({"Bearer pulo-1"}).organisation, pulo);
}

// With keys that may be out of date, an unknown key may have been added and a known one removed.
TEST_F(KeyAccessTest, decidesByNoKeyThatMayBeOutOfDate)
{
    request_.areKeysCurrent = false;
    EXPECT_EQ(decide({"Bearer pulo-1"}).verdict, AccessVerdict::Undecided);
    EXPECT_EQ(decide({"Bearer unknown"}).verdict, AccessVerdict::Undecided);
    EXPECT_EQ(decide({}).verdict, AccessVerdict::Undecided);
}

// An intent with an empty list of organisations is not one without organisations.
TEST_F(KeyAccessTest, refusesEveryKeyWithoutOrganisations)
{
    const KeyAccess access({});
    request_.authorizations = {"Bearer pulo-1"};
    EXPECT_EQ(access.decide(request_).verdict, AccessVerdict::Unauthorized);
    EXPECT_TRUE(access.usesKeys());
    const traffic::access::OpenAccess open;
    EXPECT_FALSE(open.usesKeys());
    EXPECT_EQ(open.decide(request_).verdict, AccessVerdict::Granted);
    EXPECT_TRUE(open.decide(request_).organisation.isEmpty());
}

// A node that is cut off accepts removed keys for at most the limit, one in touch accepts them
// always.
TEST(KeyFreshnessTest, holdsKeysForOutOfDateOnlyBeyondTheLimitAndOnlyIfStrict)
{
    const core::timing::MonotonicTime contact(std::chrono::hours(1));
    const KeyFreshness strict({true, milliseconds(2000)});
    EXPECT_TRUE(strict.areKeysCurrent({contact}, contact + milliseconds(2000)));
    EXPECT_FALSE(strict.areKeysCurrent({contact}, contact + milliseconds(2001)));
    EXPECT_FALSE(strict.areKeysCurrent({}, contact)) << "a process that was never in touch";
    const KeyFreshness lenient({false, milliseconds(2000)});
    EXPECT_TRUE(lenient.areKeysCurrent({contact}, contact + std::chrono::hours(24)));
    EXPECT_TRUE(lenient.areKeysCurrent({}, contact));
}
