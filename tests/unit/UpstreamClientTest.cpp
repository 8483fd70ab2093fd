/** Tests which refusals of an upstream are believed, and which connections carry another call. */
#include "transport/serving/UpstreamClient.h"
#include "UpstreamListener.h"
#include "platform/Names.h"
#include "platform/PlatformDialect.h"
#include "tests/unit/ScriptedUpstream.h"
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
    return responseText(200, {{platform::names::requestId, id}, {platform::names::signature, "s"}});
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

CallRequest callWithId(const std::string &id)
{
    CallRequest request;
    request.requestId = id;
    request.method = "POST";
    request.target = "/";
    request.headers = {{platform::names::requestId, id}};
    request.budget = std::chrono::seconds(2);
    return request;
}

/** A client of a scripted upstream. */
class ClientOfScript
{
public:
    ClientOfScript(const transport::dialect::CallDialect &dialect, ScriptedUpstream::Script script)
        : upstream_(io_, std::move(script))
        , client_(io_.provider->getNetwork(), timer_, dialect, opened_, listener_)
    {
        client_.setAddress(upstream_.address());
    }

    /** Sends calls at the same time. Returns their outcomes. */
    std::vector<CallOutcome> sendAtOnce(const std::vector<std::string> &ids)
    {
        std::vector<CallRequest> requests;
        requests.reserve(ids.size());
        for (const std::string &id : ids)
            requests.push_back(callWithId(id));
        std::vector<kj::Promise<CallResponse>> responses;
        responses.reserve(ids.size());
        for (const CallRequest &request : requests)
            responses.push_back(client_.send(request, UpstreamStatus{}).eagerlyEvaluate(nullptr));
        std::vector<CallOutcome> found;
        found.reserve(ids.size());
        for (auto &response : responses)
            found.push_back(response.wait(io_.waitScope).outcome);
        return found;
    }

    std::uint64_t connectionsOpened() const { return opened_.value(); }

private:
    kj::AsyncIoContext io_ = kj::setupAsyncIo();
    core::counters::Counter opened_;
    ScriptedUpstream upstream_;
    transport::timing::PreciseTimer timer_{io_.provider->getTimer()};
    tests::UpstreamListener listener_;
    UpstreamClient client_;
};

/** Sends calls with the given ids, one after another. Returns their outcomes. */
std::vector<CallOutcome> outcomes(const transport::dialect::CallDialect &dialect,
                                  const std::vector<std::string> &ids,
                                  ScriptedUpstream::Script script)
{
    ClientOfScript client(dialect, std::move(script));
    std::vector<CallOutcome> found;
    found.reserve(ids.size());
    for (const std::string &id : ids)
        found.push_back(client.sendAtOnce({id}).front());
    return found;
}

} // namespace

TEST(UpstreamClient, sendsNoCallOnAConnectionThatMayRepeatARefusalOfIt)
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

TEST(UpstreamClient, sendsACallThatWasRefusedBeforeOnANewConnection)
{
    const platform::PlatformDialect dialect;
    const std::string refused = refusal(503, "r2");
    ClientOfScript client(dialect, {{success("r1"), refused, refused + success("r2")},
                                    {success("r1"), refused, refused + success("r2")},
                                    {success("r2")}});
    client.sendAtOnce({"r1", "r1"});
    EXPECT_EQ(client.connectionsOpened(), 2U);
    EXPECT_EQ(client.sendAtOnce({"r2"}), std::vector{CallOutcome::NotRun});
    EXPECT_EQ(client.sendAtOnce({"r2"}), std::vector{CallOutcome::Completed});
    EXPECT_EQ(client.connectionsOpened(), 3U);
}

TEST(UpstreamClient, keepsTheConnectionAfterARefusalThatIdentifiesItsRequest)
{
    // The refusal comes again, before the response to the second call.
    EXPECT_EQ(outcomes(platform::PlatformDialect(), {"r1", "r2"},
                       {{refusal(503, "r1"), refusal(503, "r1") + success("r2")}}),
              (std::vector{CallOutcome::NotRun, CallOutcome::Completed}));
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
