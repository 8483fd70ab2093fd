/** Tests that a response counts only if the names of its fields are tokens and its framing is
    unambiguous, wherever such a field stands and however the response arrives. */
#include "ScriptedConnection.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

using namespace boragetrack;
using tests::ScriptedConnection;
using End = ScriptedConnection::End;

namespace {

constexpr const char *content = "hello";
constexpr std::size_t pieceSizes[]{1, 7, ScriptedConnection::bodyBytes};

const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string lengthField = "Content-Length: 5\r\n";

// As RFC 9110, section 5.6.2, lists them.
bool isTokenCharacter(int byte)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    const auto character = static_cast<char>(byte);
    return byte != 0 && byte < 128
           && (std::isalnum(byte) != 0 || symbols.find(character) != std::string_view::npos);
}

/** Returns lines of a head whose field names are not tokens (RFC 9110, section 5.1). */
std::vector<std::string> malformedLines()
{
    std::vector<std::string> lines{"X Name: 1",
                                   "X-Name : 1",
                                   "X-Name\t: 1",
                                   "Content-Length : 5",
                                   "Content-Length\t: 5",
                                   "Content Length: 5",
                                   "Transfer-Encoding : chunked",
                                   "Transfer-Encoding\x0b: chunked",
                                   "X-Name",
                                   ": 1"};
    for (int byte = 0; byte < 256; ++byte) {
        if (byte != ':' && byte != '\n' && !isTokenCharacter(byte))
            lines.push_back(std::string("X-Na") + static_cast<char>(byte) + "me: 1");
    }
    return lines;
}

/** Returns responses that have a line in their head, first and last. */
std::vector<std::string> responsesWith(const std::string &line)
{
    return {ok + line + "\r\n" + lengthField + "\r\nhello",
            ok + lengthField + "X-Id: 1\r\n" + line + "\r\n\r\nhello"};
}

} // namespace

TEST(ResponseField, hasATokenForAName)
{
    for (const std::string &line : malformedLines()) {
        for (const std::string &response : responsesWith(line)) {
            for (const std::size_t pieceBytes : pieceSizes) {
                EXPECT_EQ(ScriptedConnection::read(response, pieceBytes, End::Close), std::nullopt)
                        << testing::PrintToString(line) << response;
                ScriptedConnection kept(absl::StrCat(ok, lengthField, "\r\nhello", response),
                                        pieceBytes, End::Close);
                EXPECT_EQ(kept.readResponse(), content);
                EXPECT_EQ(kept.readResponse(), std::nullopt) << testing::PrintToString(line);
            }
        }
    }
}

TEST(ResponseField, hasAnyTokenForAName)
{
    for (int byte = 0; byte < 256; ++byte) {
        if (!isTokenCharacter(byte))
            continue;
        for (const std::string &response :
             responsesWith(std::string("X-Na") + static_cast<char>(byte) + "me: 1"))
            EXPECT_EQ(ScriptedConnection::read(response, 7, End::Close), content) << response;
    }
}

TEST(ResponseField, hasATokenForANameInInterimResponsesAndTrailers)
{
    for (const std::string &line : malformedLines()) {
        const std::string interim = absl::StrCat("HTTP/1.1 103 Early Hints\r\n", line, "\r\n\r\n",
                                                 ok, lengthField, "\r\nhello");
        const std::string trailer = absl::StrCat(
                ok, "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", line, "\r\n\r\n");
        for (const std::size_t pieceBytes : pieceSizes) {
            EXPECT_EQ(ScriptedConnection::read(interim, pieceBytes, End::Close), std::nullopt)
                    << testing::PrintToString(line);
            EXPECT_EQ(ScriptedConnection::read(trailer, pieceBytes, End::Close), std::nullopt)
                    << testing::PrintToString(line);
        }
    }
}

// Line folding is obsolete; a recipient may join the lines (RFC 9112, section 5.2).
TEST(ResponseField, continuesOnAFoldedLineThatIsNoFieldItself)
{
    for (const std::string folded :
         {" : 1", " Content-Length: 2", "\tTransfer-Encoding: chunked"}) {
        for (const std::size_t pieceBytes : pieceSizes) {
            const std::string later
                    = absl::StrCat(ok, "X-Id: 1\r\n", folded, "\r\n", lengthField, "\r\nhello");
            const std::string first = absl::StrCat(ok, folded, "\r\n", lengthField, "\r\nhello");
            EXPECT_EQ(ScriptedConnection::read(later, pieceBytes, End::Close), content) << folded;
            EXPECT_EQ(ScriptedConnection::read(first, pieceBytes, End::Close), std::nullopt)
                    << folded;
        }
    }
}
