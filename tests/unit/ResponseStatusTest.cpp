/** Tests that a response counts only with a status of the classes that HTTP defines, wherever
    responses are read. */
#include "ScriptedConnection.h"
#include "transport/wire/CallCodec.h"

#include <capnp/message.h>
#include <gtest/gtest.h>

using namespace boragetrack;
using tests::ScriptedConnection;
using traffic::calls::CallOutcome;
using traffic::calls::CallResponse;
using End = ScriptedConnection::End;

namespace {

constexpr const char *content = "hello";
constexpr const char *invalidStatuses[]{"000", "001", "099", "600", "999"};
constexpr std::size_t pieceSizes[]{1, 7, ScriptedConnection::bodyBytes};

std::string responseWith(const std::string &status)
{
    return "HTTP/1.1 " + status + " Status\r\nContent-Length: 5\r\n\r\nhello";
}

CallResponse sentOverALink(const CallResponse &response)
{
    capnp::MallocMessageBuilder message;
    auto answer = message.initRoot<transport::wire::schema::CallAnswer>();
    transport::wire::encode(response, answer);
    return transport::wire::decode(answer.asReader());
}

CallResponse completedWith(int status)
{
    CallResponse response;
    response.outcome = CallOutcome::Completed;
    response.status = status;
    response.headers = {{"X-Id", "1"}};
    response.body = content;
    response.reachedUpstream = true;
    return response;
}

} // namespace

TEST(ResponseStatus, isRefusedOutsideTheDefinedClasses)
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    for (const char *status : invalidStatuses) {
        for (const std::size_t pieceBytes : pieceSizes) {
            const std::string invalid = responseWith(status);
            EXPECT_EQ(ScriptedConnection::read(invalid, pieceBytes, End::Close), std::nullopt)
                    << status;
            EXPECT_EQ(ScriptedConnection::read(interim + invalid, pieceBytes, End::Close),
                      std::nullopt)
                    << status;
            ScriptedConnection kept(responseWith("200") + invalid, pieceBytes, End::Close);
            EXPECT_EQ(kept.readResponse(), content);
            EXPECT_EQ(kept.readResponse(), std::nullopt) << status;
        }
    }
}

TEST(ResponseStatus, isAcceptedInEachClass)
{
    for (const char *status : {"200", "299", "304", "399", "400", "451", "499", "500", "599"}) {
        for (const std::size_t pieceBytes : pieceSizes) {
            ScriptedConnection connection(responseWith(status), pieceBytes, End::Close);
            EXPECT_NE(connection.readResponse(), std::nullopt) << status;
            EXPECT_EQ(std::to_string(connection.status()), status);
        }
    }
}

// A node of an earlier version passes such a response on.
TEST(ResponseStatus, isRefusedFromALinkOutsideTheDefinedClasses)
{
    for (const int status : {0, 1, 99, 600, 999}) {
        const CallResponse received = sentOverALink(completedWith(status));
        EXPECT_EQ(received.outcome, CallOutcome::Unknown) << status;
        EXPECT_EQ(received.status, 0);
        EXPECT_EQ(received.body, "");
        EXPECT_TRUE(received.headers.empty());
        EXPECT_TRUE(received.reachedUpstream);
    }
    for (const int status : {200, 451, 599}) {
        const CallResponse received = sentOverALink(completedWith(status));
        EXPECT_EQ(received.outcome, CallOutcome::Completed) << status;
        EXPECT_EQ(received.status, status);
        EXPECT_EQ(received.body, content);
    }
}

TEST(ResponseStatus, mayBeMissingFromALinkWithoutAResponse)
{
    const CallResponse received = sentOverALink(CallResponse::notRun("no slot"));
    EXPECT_EQ(received.outcome, CallOutcome::NotRun);
    EXPECT_EQ(received.status, 0);
    EXPECT_EQ(received.reason, "no slot");
}
