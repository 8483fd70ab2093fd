/** Tests that a message is read the same however it is cut into pieces. */
#include "tests/fuzz/MessageCorpus.h"
#include "tests/fuzz/MessageReading.h"

#include <gtest/gtest.h>
#include <random>

using namespace boragetrack;
using namespace boragetrack::transport::http;
using tests::piecesOf;
using tests::readMessages;

namespace {

template <typename Head>
void expectSameHoweverCut(const std::vector<std::string> &corpus, bool hasBody)
{
    std::mt19937 random(1); // NOLINT(cert-msc51-cpp): reproducible
    for (const std::string &message : corpus) {
        const std::string whole = readMessages<Head>(piecesOf(message, {}), hasBody);
        std::vector<std::size_t> all;
        for (std::size_t cut = 1; cut < message.size(); ++cut) {
            all.push_back(cut);
            EXPECT_EQ(readMessages<Head>(piecesOf(message, {cut}), hasBody), whole)
                    << "cut at " << cut << " of\n"
                    << message;
        }
        EXPECT_EQ(readMessages<Head>(piecesOf(message, all), hasBody), whole) << "byte by byte:\n"
                                                                              << message;
        for (int round = 0; round < 20; ++round) {
            std::vector<std::size_t> cuts;
            std::copy_if(all.begin(), all.end(), std::back_inserter(cuts),
                         [&](std::size_t) { return random() % 7 == 0; });
            EXPECT_EQ(readMessages<Head>(piecesOf(message, cuts), hasBody), whole)
                    << "cut at random:\n"
                    << message;
        }
    }
}

} // namespace

// An empty chunked body that arrived in two pieces ended the process by an assertion of the parser.
TEST(MessageCuts, readsRequestsTheSameHoweverTheyAreCut)
{
    expectSameHoweverCut<RequestHead>(tests::requestCorpus(), true);
}

TEST(MessageCuts, readsResponsesTheSameHoweverTheyAreCut)
{
    expectSameHoweverCut<ResponseHead>(tests::responseCorpus(), true);
}

TEST(MessageCuts, readsResponsesToHeadRequestsTheSameHoweverTheyAreCut)
{
    expectSameHoweverCut<ResponseHead>(tests::responseCorpus(), false);
}

TEST(MessageCuts, readsWhatItShould)
{
    const std::string head = "POST /orders/7|Host=shop.example|Transfer-Encoding=chunked\n";
    const std::string request = "POST /orders/7 HTTP/1.1\r\nHost: shop.example\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n";
    EXPECT_EQ(readMessages<RequestHead>({request, "0\r\n", "\r\n"}, true),
              head + "body \nkept\nleft ");
    EXPECT_EQ(
            readMessages<RequestHead>({request + "0\r\n\r", "\n", "GET / HTTP/1.1\r\n\r\n"}, true),
            head + "body \nkept\nGET /\nbody \nkept\nleft ");
    EXPECT_EQ(readMessages<RequestHead>({request + "0\r\n", "X-Trailer: t\r\n", "\r\n"}, true),
              head + "body \nkept\nleft ");
    EXPECT_EQ(readMessages<RequestHead>({request + "0\r\n"}, true), head + "failed body 400");
}

// The body of such a request was read as the next request.
TEST(MessageCuts, refusesATransferCodingThatHasNoKnownEnd)
{
    for (const char *coding : {"other", "gzip", "chunked, gzip", "identity"}) {
        const std::string field = std::string("Transfer-Encoding: ") + coding + "\r\n\r\n";
        EXPECT_EQ(readMessages<RequestHead>(
                          {"POST / HTTP/1.1\r\n" + field + "GET /inner HTTP/1.1\r\n\r\n"}, true),
                  "fault 400")
                << coding;
        EXPECT_EQ(readMessages<ResponseHead>({"HTTP/1.1 200 OK\r\n" + field + "body"}, true),
                  "fault 400")
                << coding;
    }
}
