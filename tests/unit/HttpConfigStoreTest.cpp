/** Tests that a response of the native store counts only with a version. */
#include "transport/http/HttpConfigStore.h"
#include "RawServer.h"
#include "transport/http/BlockingClient.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

using namespace boragetrack;
using control::store::StoreVersion;
using tests::RawServer;
using transport::http::BlockingClient;
using transport::http::HttpConfigStore;

namespace {

std::string responseWith(const std::string &fields)
{
    return absl::StrCat("HTTP/1.1 200 OK\r\n", fields, "Content-Length: 5\r\n\r\nvalue");
}

} // namespace

TEST(HttpConfigStore, readsValuesWithTheirVersion)
{
    const RawServer server(responseWith("x-version: 7\r\n"), RawServer::End::Close);
    BlockingClient client;
    HttpConfigStore store(server.address(), client);
    const auto value = store.read("intent");
    ASSERT_TRUE(value.ok()) << value.status();
    EXPECT_EQ(value->version.number, 7);
    EXPECT_EQ(value->value, "value");
    EXPECT_EQ(store.compareAndSwap("intent", StoreVersion{6}, "value")->number, 7);
}

TEST(HttpConfigStore, takesNoResponseWithoutAVersion)
{
    for (const std::string fields :
         {"", "X-Version:\r\n", "X-Version: new\r\n", "X-Version: 7x\r\n", "X-Version: -7\r\n",
          "X-Version: 0\r\n", "X-Version: 99999999999999999999\r\n", "X-Version : 7\r\n"}) {
        const RawServer server(responseWith(fields), RawServer::End::Close);
        BlockingClient client;
        HttpConfigStore store(server.address(), client);
        const auto value = store.read("intent");
        EXPECT_EQ(value.status().code(), absl::StatusCode::kUnknown) << fields;
        const auto change = store.watch("intent", StoreVersion{6}, std::chrono::milliseconds(100));
        EXPECT_EQ(change.status().code(), absl::StatusCode::kUnknown) << fields;
        const auto written = store.compareAndSwap("intent", StoreVersion{6}, "value");
        EXPECT_EQ(written.status().code(), absl::StatusCode::kUnknown) << fields;
    }
}
