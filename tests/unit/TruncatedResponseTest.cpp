/** Tests that a response is complete only with all of its bytes, wherever its input ends. */
#include "ScriptedConnection.h"

#include <gtest/gtest.h>

using namespace boragetrack::transport::http;
using Connection = boragetrack::tests::ScriptedConnection;
using End = boragetrack::tests::ScriptedStream::End;

namespace {

constexpr std::size_t bodyBytes = Connection::bodyBytes;
constexpr const char *content = "hello world";

/** A response as its sender wrote it. */
struct Sent
{
    const char *name;
    std::string bytes;
};

/** Returns responses with the same content, whose heads or framing tell where they end. */
std::vector<Sent> framedResponses()
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    return {
            {"length", ok + "Content-Length: 11\r\nX-Id: 1\r\n\r\nhello world"},
            {"length last", ok + "X-Id: 1\r\nContent-Length: 11\r\n\r\nhello world"},
            {"chunks",
             ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"},
            {"chunks and trailer", ok
                                           + "Transfer-Encoding: chunked\r\n\r\n00b;a=b\r\nhello "
                                             "world\r\n0\r\nX-Sum: 1\r\nX-Other: 2\r\n\r\n"},
            {"folded header",
             ok + "X-Folded: a\r\n b\r\nContent-Length:\r\n 11\r\n\r\nhello world"},
    };
}

} // namespace

TEST(TruncatedResponse, isNotCompleteWhereverItEnds)
{
    for (const Sent &sent : framedResponses()) {
        for (std::size_t cut = 0; cut < sent.bytes.size(); ++cut) {
            for (const std::size_t pieceBytes : {std::size_t{1}, std::size_t{7}, bodyBytes}) {
                for (const End end : {End::Close, End::Reset, End::ResetAtOnce}) {
                    EXPECT_EQ(Connection::read(sent.bytes.substr(0, cut), pieceBytes, end),
                              std::nullopt)
                            << sent.name << " cut at " << cut << ", pieces of " << pieceBytes;
                }
            }
        }
    }
}

TEST(TruncatedResponse, isNotCompleteAfterAnotherOnTheSameConnection)
{
    for (const Sent &sent : framedResponses()) {
        for (std::size_t cut = 0; cut < sent.bytes.size(); ++cut) {
            for (const std::size_t pieceBytes : {std::size_t{1}, bodyBytes}) {
                Connection connection(sent.bytes + sent.bytes.substr(0, cut), pieceBytes,
                                      End::Close);
                EXPECT_EQ(connection.readResponse(), content) << sent.name;
                EXPECT_TRUE(connection.isKept()) << sent.name;
                EXPECT_EQ(connection.readResponse(), std::nullopt) << sent.name << " at " << cut;
            }
        }
    }
}

TEST(TruncatedResponse, isCompleteInPiecesOfAnySize)
{
    for (const Sent &sent : framedResponses()) {
        for (std::size_t pieceBytes = 1; pieceBytes <= sent.bytes.size(); ++pieceBytes) {
            EXPECT_EQ(Connection::read(sent.bytes, pieceBytes, End::Reset), content)
                    << sent.name << ", pieces of " << pieceBytes;
        }
    }
}

TEST(TruncatedResponse, isCompleteThoughAResetFollows)
{
    for (const Sent &sent : framedResponses()) {
        for (const End end : {End::Reset, End::ResetAtOnce}) {
            Connection connection(sent.bytes, bodyBytes, end);
            EXPECT_EQ(connection.readResponse(), content) << sent.name;
            EXPECT_TRUE(connection.isResetNext()) << sent.name;
        }
    }
}

TEST(TruncatedResponse, endsWithTheConnectionIfItHasNoLength)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n";
    const std::string whole = head + content;
    for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
        for (const std::size_t pieceBytes : {std::size_t{1}, bodyBytes}) {
            const std::string received = whole.substr(0, cut);
            const auto body = Connection::read(received, pieceBytes, End::Close);
            if (cut < head.size())
                EXPECT_EQ(body, std::nullopt) << cut;
            else
                EXPECT_EQ(body, received.substr(head.size())) << cut;
            EXPECT_EQ(Connection::read(received, pieceBytes, End::Reset), std::nullopt) << cut;
        }
    }
}

TEST(TruncatedResponse, isNotCompleteIfWritingTheRequestFoundTheConnectionReset)
{
    for (const End end : {End::ResetOnWrite, End::ResetWhileWriting}) {
        for (const char *body : {"", "hello"}) {
            for (const std::size_t pieceBytes : {std::size_t{1}, bodyBytes}) {
                const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
                Connection connection(head + body, pieceBytes, end);
                connection.writeRequest();
                EXPECT_EQ(connection.readResponse(), std::nullopt) << body;
            }
        }
    }
}

// An upstream may respond to a long request, close its side and never read the rest.
TEST(TruncatedResponse, endsWithTheConnectionAlthoughTheRequestIsUnfinished)
{
    Connection connection("HTTP/1.1 200 OK\r\n\r\nhello", bodyBytes, End::CloseWhileWriting);
    connection.writeRequest();
    EXPECT_EQ(connection.readResponse(), "hello");
}

TEST(TruncatedResponse, endsWithTheConnectionThoughAResetFollows)
{
    Connection connection("HTTP/1.1 200 OK\r\n\r\nhello", bodyBytes, End::ResetAfterClose);
    connection.writeRequest();
    EXPECT_EQ(connection.readResponse(), "hello");
}

TEST(TruncatedResponse, acceptsNoLineFeedAloneAsTheEndOfALine)
{
    for (const Sent &sent : framedResponses()) {
        for (std::size_t at = sent.bytes.find("\r\n"); at != std::string::npos;
             at = sent.bytes.find("\r\n", at + 1)) {
            std::string bytes = sent.bytes;
            bytes.erase(at, 1);
            EXPECT_EQ(Connection::read(bytes, bodyBytes, End::Close), std::nullopt)
                    << sent.name << " at " << at;
        }
    }
}

TEST(TruncatedResponse, followsInterimResponses)
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n"
                                "HTTP/1.1 103 Early Hints\r\nLink: a\r\nX-Id: 1\r\n\r\n";
    for (const Sent &sent : framedResponses()) {
        const std::string whole = interim + sent.bytes;
        for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
            for (const std::size_t pieceBytes : {std::size_t{1}, bodyBytes}) {
                Connection connection(whole.substr(0, cut), pieceBytes, End::Close);
                const auto body = connection.readResponse();
                if (cut < whole.size()) {
                    EXPECT_EQ(body, std::nullopt) << sent.name << " cut at " << cut;
                    continue;
                }
                EXPECT_EQ(body, content) << sent.name;
                EXPECT_EQ(connection.status(), 200) << sent.name;
            }
        }
    }
}
