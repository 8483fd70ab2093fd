/** Tests which refusals of an upstream are believed, and which connections carry another call. */
#include "transport/serving/UpstreamClient.h"
#include "ScriptedUpstream.h"
#include "platform/Names.h"
#include "platform/PlatformDialect.h"
#include "traffic/calls/CallHeaders.h"
#include "transport/dialect/NativeDialect.h"
#include "transport/http/MessageWriter.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using traffic::calls::CallResponse;
using transport::http::HeaderList;
using transport::serving::UpstreamClient;
using transport::serving::UpstreamStatus;

namespace {

std::string responseText(int status, const HeaderList &headers)
{
    return transport::http::serializeHead(transport::http::ResponseHead{status, headers}, 0, true);
}

// A response on the platform's interface; without an id it names no request.
std::string success(const std::string &id)
{
    return responseText(200, {{platform::names::requestId, id}});
}

std::string refusal(int status, const std::string &id = {})
{
    HeaderList headers{{platform::names::notRun, "1"}};
    if (!id.empty())
        headers.push_back({platform::names::requestId, id});
    return responseText(status, headers);
}

std::string nativeRefusal()
{
    return responseText(503, {{traffic::calls::shedHeader, "1"}});
}

/** Sends calls with the given ids, one after another. Returns their outcomes. */
std::vector<CallOutcome> outcomes(const transport::dialect::CallDialect &dialect,
                                  const std::vector<std::string> &ids,
                                  ScriptedUpstream::Script script)
{
    kj::AsyncIoContext io = kj::setupAsyncIo();
    core::counters::Counter opened;
    ScriptedUpstream upstream(io, std::move(script));
    UpstreamClient client(io.provider->getNetwork(), io.provider->getTimer(), dialect, opened);
    client.setAddress(upstream.address());
    std::vector<CallOutcome> found;
    for (const std::string &id : ids) {
        CallRequest request;
        request.requestId = id;
        request.method = "POST";
        request.target = "/";
        request.headers = {{platform::names::requestId, id}};
        request.budget = std::chrono::seconds(2);
        found.push_back(client.send(request, UpstreamStatus{}).wait(io.waitScope).outcome);
    }
    return found;
}

} // namespace

TEST(UpstreamClient, sendsNoCallOnAConnectionThatCarriedARefusal)
{
    const std::vector expected{CallOutcome::NotRun, CallOutcome::Completed};
    const platform::PlatformDialect platformDialect;
    for (const int status : {503, 429, 421, 400}) {
        EXPECT_EQ(outcomes(platformDialect, {"r1", "r2"},
                           {{refusal(status), refusal(status) + success("r2")}, {success("r2")}}),
                  expected)
                << status;
    }
    // The second call is a retry of the first.
    EXPECT_EQ(outcomes(platformDialect, {"r1", "r1"},
                       {{refusal(503, "r1"), refusal(503, "r1") + success("r1")}, {success("r1")}}),
              expected);
    EXPECT_EQ(outcomes(transport::dialect::NativeDialect(), {"r1", "r2"},
                       {{nativeRefusal(), nativeRefusal() + responseText(200, {})},
                        {responseText(200, {})}}),
              expected);
}

TEST(UpstreamClient, believesNoRefusalWithoutAnIdentifierOnAConnectionUsedBefore)
{
    const platform::PlatformDialect dialect;
    for (const int status : {503, 429, 421, 400}) {
        EXPECT_EQ(
                outcomes(dialect, {"r1", "r2"}, {{success("r1"), refusal(status) + success("r2")}}),
                (std::vector{CallOutcome::Completed, CallOutcome::Unknown}))
                << status;
    }
}

TEST(UpstreamClient, believesNoStatusThatDeniesARunWithoutAStatementOfTheUpstream)
{
    const platform::PlatformDialect dialect;
    for (const int status : {408, 429, 503}) {
        const std::string response = responseText(status, {{platform::names::requestId, "r1"}});
        EXPECT_EQ(outcomes(dialect, {"r1"}, {{response}}), std::vector{CallOutcome::Unknown})
                << status;
    }
    for (const int status : {400, 500, 504}) {
        const std::string response = responseText(status, {{platform::names::requestId, "r1"}});
        EXPECT_EQ(outcomes(dialect, {"r1"}, {{response}}), std::vector{CallOutcome::Completed})
                << status;
    }
}

TEST(UpstreamClient, believesGenuineRefusals)
{
    const platform::PlatformDialect platformDialect;
    const transport::dialect::NativeDialect nativeDialect;
    const std::vector second{CallOutcome::Completed, CallOutcome::NotRun};
    for (const int status : {503, 429, 421, 400}) {
        EXPECT_EQ(outcomes(platformDialect, {"r1"}, {{refusal(status)}}),
                  std::vector{CallOutcome::NotRun})
                << status;
        EXPECT_EQ(outcomes(platformDialect, {"r1", "r2"}, {{success("r1"), refusal(status, "r2")}}),
                  second)
                << status;
    }
    // The native interface has no identifiers.
    EXPECT_EQ(outcomes(nativeDialect, {"r1", "r2"}, {{responseText(200, {}), nativeRefusal()}}),
              second);
}
