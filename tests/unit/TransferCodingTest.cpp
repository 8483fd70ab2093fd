/** Tests that a body counts only if it was sent plain or in chunks, the only transfer coding that
   is decoded. */
#include "ScriptedConnection.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

using namespace boragetrack;
using tests::ScriptedConnection;
using End = ScriptedConnection::End;

namespace {

constexpr const char *content = "hello";
constexpr std::size_t pieceSizes[]{1, 7, ScriptedConnection::bodyBytes};

std::optional<std::string> readWith(const std::string &fields, std::size_t pieceBytes)
{
    return ScriptedConnection::read("HTTP/1.1 200 OK\r\n" + fields + "\r\n5\r\nhello\r\n0\r\n\r\n",
                                    pieceBytes, End::Close);
}

} // namespace

TEST(TransferCoding, isRefusedUnlessItIsChunkedAlone)
{
    for (const std::string fields : {
                 "Transfer-Encoding: gzip, chunked\r\n",
                 "Transfer-Encoding: gzip,chunked\r\n",
                 "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
                 "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
                 "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                 "Transfer-Encoding: chunked, chunked\r\n",
                 "Transfer-Encoding: identity, chunked\r\n",
                 "Transfer-Encoding: chunked, identity\r\n",
                 "Transfer-Encoding: chunked;level=1\r\n",
                 "Transfer-Encoding: gzip\r\n",
                 "Transfer-Encoding: \r\n",
                 "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
         }) {
        for (const std::size_t pieceBytes : pieceSizes)
            EXPECT_EQ(readWith(fields, pieceBytes), std::nullopt) << fields;
    }
}

TEST(TransferCoding, isReadInAnyCaseAndBetweenBlanks)
{
    for (const std::string fields :
         {"Transfer-Encoding: chunked\r\n", "transfer-encoding:chunked\r\n",
          "Transfer-Encoding:  Chunked \r\n"}) {
        for (const std::size_t pieceBytes : pieceSizes)
            EXPECT_EQ(readWith(fields, pieceBytes), content) << fields;
    }
}

TEST(TransferCoding, isRefusedInRequestsUnlessItIsChunkedAlone)
{
    const std::string request = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: ";
    const std::string chunks = "\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    for (const auto &[coding, isRead] : {std::pair{"chunked", true}, {"gzip, chunked", false}}) {
        transport::http::MessageParser<transport::http::RequestHead> parser(
                transport::http::MessageLimits{4096, 4096});
        parser.put(absl::StrCat(request, coding, chunks));
        EXPECT_EQ(parser.isDone(), isRead) << coding;
        EXPECT_EQ(parser.fault().has_value(), !isRead) << coding;
    }
}
