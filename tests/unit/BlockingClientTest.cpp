/** Tests that the client of the store and of the command line returns sound responses only. */
#include "transport/http/BlockingClient.h"
#include "RawServer.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

using namespace boragetrack;
using tests::RawServer;
using transport::http::BlockingClient;
using transport::http::HttpRequest;
using transport::http::HttpResponse;
using End = RawServer::End;

namespace {

constexpr std::chrono::milliseconds timeout{5000};
// More than the system takes while the server does not read.
constexpr std::size_t longRequestBytes = std::size_t{8} * 1000 * 1000;

const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string chunks = "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n";

absl::StatusOr<HttpResponse> responseOf(const std::string &bytes, End end,
                                        const std::string &requestBody = {})
{
    const RawServer server(bytes, end);
    BlockingClient client;
    return client.send(server.address(),
                       HttpRequest{requestBody.empty() ? "GET" : "PUT", "/", {}, requestBody},
                       timeout);
}

void expectNoResponse(const std::string &bytes, End end, const std::string &requestBody = {})
{
    const auto response = responseOf(bytes, end, requestBody);
    EXPECT_EQ(response.status().code(), absl::StatusCode::kUnknown)
            << response.status() << " from " << testing::PrintToString(bytes);
}

} // namespace

TEST(BlockingClient, returnsNoMalformedResponse)
{
    const std::string rest = "Content-Length: 5\r\n\r\nwhole";
    for (const std::string &bytes : std::vector<std::string>{
                 "HTTP/1.1 000 X\r\n" + rest,
                 "HTTP/1.1 099 X\r\n" + rest,
                 "HTTP/1.1 600 X\r\n" + rest,
                 absl::StrCat("HTTP/1.1 101 X\r\n\r\n", ok, rest),
                 "HTTP/2.0 200 OK\r\n" + rest,
                 absl::StrCat(ok, "X Version: 7\r\n", rest),
                 absl::StrCat(ok, "X-Version : 7\r\n", rest),
                 absl::StrCat(ok, "X-Ver\x01sion: 7\r\n", rest),
                 absl::StrCat(ok, ": 7\r\n", rest),
                 absl::StrCat(ok, "X-Version\r\n", rest),
                 ok + "Content-Length : 5\r\n\r\nwhole and more",
                 ok + "Transfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
                 ok + "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
                 ok + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nwhole!",
                 ok + "Content-Length: 50\r\n\r\nwhole",
                 ok + chunks,
                 absl::StrCat(ok, chunks, "X-Trailer : 1\r\n\r\n"),
                 absl::StrCat("HTTP/1.1 103 Early Hints\r\nX Link: a\r\n\r\n", ok, rest),
                 "whole",
                 "",
         }) {
        expectNoResponse(bytes, End::Close);
        expectNoResponse(bytes, End::Reset);
    }
    expectNoResponse(ok + "\r\nwhole", End::Reset);
}

TEST(BlockingClient, returnsSoundResponsesOfUnusualForm)
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    const std::string rest = "Content-Length: 5\r\n\r\nwhole";
    for (const std::string &bytes : std::vector<std::string>{
                 ok + rest,
                 "HTTP/1.1 200 \r\n" + rest,
                 absl::StrCat(ok, "X-Empty:\r\n", rest),
                 ok + "\r\nwhole",
                 "HTTP/1.0 200 OK\r\n\r\nwhole",
                 absl::StrCat(ok, chunks, "\r\n"),
                 absl::StrCat(ok, chunks, "X-Trailer: 1\r\n\r\n"),
                 absl::StrCat(interim, ok, rest),
         }) {
        const auto response = responseOf(bytes, End::Close);
        ASSERT_TRUE(response.ok()) << response.status() << testing::PrintToString(bytes);
        EXPECT_EQ(response->status, 200);
        EXPECT_EQ(response->body, "whole");
    }
}

TEST(BlockingClient, returnsAWholeResponseThoughTheRequestIsUnfinished)
{
    const std::string longBody(longRequestBytes, 'x');
    for (const End end : {End::Close, End::Reset}) {
        const auto response = responseOf("HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nwhole",
                                         end, longBody);
        ASSERT_TRUE(response.ok()) << response.status();
        EXPECT_EQ(response->status, 413);
        EXPECT_EQ(response->body, "whole");
    }
}

TEST(BlockingClient, returnsNoPartOfAResponseThatWasResetBesideTheRequest)
{
    const std::string longBody(longRequestBytes, 'x');
    for (int call = 0; call < 16; ++call)
        expectNoResponse(ok + "\r\nwho", End::Reset, longBody);
}

TEST(BlockingClient, reportsWhetherTheServerMayHaveReceivedTheRequest)
{
    core::identity::NetworkAddress unused;
    {
        const RawServer ended(ok, End::Close);
        unused = ended.address();
    }
    BlockingClient client;
    EXPECT_EQ(client.send(unused, HttpRequest{"GET", "/", {}, {}}, timeout).status().code(),
              absl::StatusCode::kUnavailable);
    expectNoResponse("", End::Close);
}
