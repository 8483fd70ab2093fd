/** Tests what upstreams learn of the organisation of a call, in both dialects. */
#include "platform/PlatformDialect.h"

#include "traffic/calls/RunningCalls.h"
#include "transport/callers/CallBuilder.h"
#include "transport/dialect/NativeDialect.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace boragetrack;
using core::identity::IdempotencyKey;
using core::identity::OrganisationName;
using traffic::access::AccessDecision;
using traffic::access::AccessVerdict;
using traffic::calls::CallRequest;
using traffic::calls::CallResponse;
using transport::callers::applyAccess;
using transport::dialect::CallDialect;
using transport::http::equalsIgnoreCase;

namespace {

class OrganisationFieldTest : public testing::TestWithParam<const CallDialect *>
{
protected:
    const CallDialect &dialect() { return *GetParam(); }

    // Returns the values of the field that names the organisation, as the upstream receives them.
    std::vector<std::string> fieldValues(const CallRequest &request)
    {
        std::vector<std::string> values;
        for (const auto &field : dialect().upstreamHeaders(request, {})) {
            if (equalsIgnoreCase(field.name, dialect().organisationHeader()))
                values.push_back(field.value);
        }
        return values;
    }
};

const platform::PlatformDialect platformDialect;
const transport::dialect::NativeDialect nativeDialect;

INSTANTIATE_TEST_SUITE_P(Dialects, OrganisationFieldTest,
                         testing::Values(&platformDialect, &nativeDialect));

AccessDecision granted(const char *organisation, std::optional<int> priority = {})
{
    return {AccessVerdict::Granted, OrganisationName(organisation), priority, {}};
}

} // namespace

// An upstream that gets two values may believe the caller's.
TEST_P(OrganisationFieldTest, isWrittenOnceWhateverTheCallerSent)
{
    CallRequest request;
    request.organisation = OrganisationName("pulo780");
    request.headers = {{dialect().organisationHeader(), "forged"}, {"X-Other", "kept"}};
    EXPECT_EQ(fieldValues(request), std::vector<std::string>{"pulo780"});
    request.isNested = true;
    EXPECT_EQ(fieldValues(request), std::vector<std::string>{"pulo780"});
}

// Without organisations the field means nothing to the system.
TEST_P(OrganisationFieldTest, isPassedOnWithoutAnOrganisation)
{
    CallRequest request;
    EXPECT_TRUE(fieldValues(request).empty());
    request.headers = {{dialect().organisationHeader(), "own"}};
    EXPECT_EQ(fieldValues(request), std::vector<std::string>{"own"});
}

// Whoever reads the links or the upstream's log must not learn keys.
TEST_P(OrganisationFieldTest, accessRemovesTheKeyAndForgedNamesFromTheCall)
{
    CallRequest request;
    request.priority = 2;
    request.headers = {{"authorization", "Bearer k"},
                       {"X-Other", "kept"},
                       {"AUTHORIZATION", "Basic x"},
                       {dialect().organisationHeader(), "forged"}};
    applyAccess(request, granted(""), dialect().organisationHeader());
    ASSERT_EQ(request.headers.size(), 1U);
    EXPECT_EQ(request.headers[0].name, "X-Other");
    EXPECT_EQ(request.priority, 2);
    applyAccess(request, granted("pulo780", 0), dialect().organisationHeader());
    EXPECT_EQ(request.organisation.value(), "pulo780");
    EXPECT_EQ(request.priority, 0);
}

// Two organisations that choose the same idempotency key must not get each other's responses.
TEST_P(OrganisationFieldTest, accessSeparatesIdempotencyKeysOfOrganisations)
{
    const auto keyOf = [this](const char *organisation) {
        CallRequest request;
        request.key = IdempotencyKey("7");
        applyAccess(request, granted(organisation), dialect().organisationHeader());
        return request.key;
    };
    EXPECT_EQ(keyOf("a"), keyOf("a"));
    EXPECT_NE(keyOf("a"), keyOf("b"));
    EXPECT_NE(keyOf("a"), keyOf(""));
    CallRequest request;
    applyAccess(request, granted("a"), dialect().organisationHeader());
    EXPECT_TRUE(request.key.isEmpty()) << "a call without a key must not get one";
}

TEST_P(OrganisationFieldTest, aRefusalForGoodNamesTheSchemeToUse)
{
    CallResponse refusal = CallResponse::notRun("no key");
    refusal.status = 401;
    const auto head = dialect().refusalHead(refusal);
    EXPECT_EQ(head.status, 401);
    const std::string *challenge = transport::http::findHeader(head.headers, "WWW-Authenticate");
    ASSERT_NE(challenge, nullptr);
    EXPECT_EQ(*challenge, "Bearer");
}

// A nested call must not outlive the request that it belongs to, nor find another one's
// organisation.
TEST(RunningCallsTest, knowsTheOrganisationsOfRunningRequestsOnly)
{
    traffic::calls::RunningCalls calls;
    {
        const traffic::calls::RunningCalls::ScopedCall call(calls, "a-1", 1,
                                                            OrganisationName("pulo780"));
        const traffic::calls::RunningCalls::ScopedCall other(calls, "a-2", 1, {});
        EXPECT_EQ(calls.organisationOf("a-1"), OrganisationName("pulo780"));
        EXPECT_EQ(calls.organisationOf("a-2"), OrganisationName());
        EXPECT_EQ(calls.organisationOf("a-3"), std::nullopt);
    }
    EXPECT_EQ(calls.organisationOf("a-1"), std::nullopt);
    const traffic::calls::RunningCalls::ScopedCall unnamed(calls, "", 1, {});
    EXPECT_EQ(calls.organisationOf(""), std::nullopt);
}
