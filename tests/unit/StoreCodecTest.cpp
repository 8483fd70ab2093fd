/** Tests that a response of the platform's store counts only with all that its call returns. */
#include "platform/StoreCodec.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using platform::StoreCodec;
using transport::http::HttpResponse;

namespace {

HttpResponse okWith(const std::string &body)
{
    return HttpResponse{200, {{"Content-Type", "application/json"}}, body};
}

template <typename Result>
void expectIncomplete(absl::StatusOr<Result> (*read)(const HttpResponse &), const char *body)
{
    EXPECT_EQ(read(okWith(body)).status().code(), absl::StatusCode::kDataLoss) << body;
}

absl::StatusOr<control::records::Lease> readGrantedLease(const HttpResponse &response)
{
    return StoreCodec::readLease(response, 0);
}

absl::StatusOr<control::records::Lease> readRenewedLease(const HttpResponse &response)
{
    return StoreCodec::readLease(response, 7);
}

// An item without a key, without a revision, with odd ones, and without a value that can be read.
constexpr const char *brokenItems[]{
        R"({"value":"eA==","revision":4})",
        R"({"key":"a","value":"eA=="})",
        R"({"key":7,"value":"eA==","revision":4})",
        R"({"key":"a","value":"eA==","revision":-4})",
        R"({"key":"a","revision":4})",
        R"({"key":"a","value":7,"revision":4})",
        R"({"key":"a","value":"not base64!","revision":4})",
        R"("a")",
};

} // namespace

TEST(StoreCodec, readsWholePages)
{
    const auto page = StoreCodec::readPage(
            okWith(R"({"items":[{"key":"a","value":"eA==","revision":4,"created":2,"lease":0},)"
                   R"({"key":"b","value":"","revision":5}],"truncated":true,"currentRev":9})"));
    ASSERT_TRUE(page.ok()) << page.status();
    ASSERT_EQ(page->records.size(), 2);
    EXPECT_EQ(page->records[0].text, "x");
    EXPECT_EQ(page->records[1].text, "");
    EXPECT_TRUE(page->isTruncated);
    EXPECT_EQ(page->revision.number(), 9);
}

TEST(StoreCodec, takesNoIncompletePage)
{
    for (const char *body :
         {"{}", R"({"items":[],"truncated":false})", R"({"truncated":false,"currentRev":9})",
          R"({"items":[],"currentRev":9})", R"({"items":{},"truncated":false,"currentRev":9})",
          R"({"items":[],"truncated":"no","currentRev":9})",
          R"({"items":[],"truncated":false,"currentRev":"9"})", "[]", "", R"({"items":[)"})
        expectIncomplete(&StoreCodec::readPage, body);
    for (const char *item : brokenItems)
        expectIncomplete(&StoreCodec::readPage, (R"({"truncated":false,"currentRev":9,"items":[)"
                                                 + std::string(item) + "]}")
                                                        .c_str());
}

TEST(StoreCodec, readsWholeChanges)
{
    const auto changes = StoreCodec::readChanges(
            okWith(R"({"events":[{"key":"a","value":"eA==","revision":4},)"
                   R"({"key":"b","revision":5,"deleted":true}],"currentRev":5})"));
    ASSERT_TRUE(changes.ok()) << changes.status();
    ASSERT_EQ(changes->changes.size(), 2);
    EXPECT_TRUE(changes->changes[1].isRemoved);
    EXPECT_EQ(changes->revision.number(), 5);
}

TEST(StoreCodec, takesNoIncompleteChanges)
{
    for (const char *body :
         {"{}", R"({"events":[]})", R"({"currentRev":9})", R"({"events":"","currentRev":9})",
          R"({"events":[],"currentRev":null})"})
        expectIncomplete(&StoreCodec::readChanges, body);
    for (const char *item : brokenItems)
        expectIncomplete(&StoreCodec::readChanges,
                         (R"({"currentRev":9,"events":[)" + std::string(item) + "]}").c_str());
}

TEST(StoreCodec, takesNoIncompleteResultOfAnyOtherCall)
{
    for (const char *body : {"{}", R"({"revision":"9","currentRev":"9","lease":"9","ttlS":"9"})"}) {
        expectIncomplete(&StoreCodec::readProbe, body);
        expectIncomplete(&StoreCodec::readCommit, body);
        expectIncomplete(&readGrantedLease, body);
        expectIncomplete(&readRenewedLease, body);
    }
    expectIncomplete(&readGrantedLease, R"({"ttlS":3})");
    expectIncomplete(&readGrantedLease, R"({"lease":7})");
    EXPECT_EQ(StoreCodec::readProbe(okWith(R"({"currentRev":9})"))->number(), 9);
    EXPECT_EQ(StoreCodec::readCommit(okWith(R"({"revision":9})"))->number(), 9);
    EXPECT_EQ(readGrantedLease(okWith(R"({"lease":8,"ttlS":3})"))->id, 8);
    EXPECT_EQ(readRenewedLease(okWith(R"({"ttlS":3})"))->id, 7);
}
