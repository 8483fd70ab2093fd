/** Maps the key-value service's HTTP statuses to absl::Status and reads versions from X-Version. A
    response without a version is lost: it doesn't tell what it is about. */
#include "transport/http/HttpConfigStore.h"

#include "transport/http/HeaderLookup.h"

#include <charconv>

namespace boragetrack::transport::http {

using control::store::StoredValue;
using control::store::StoreVersion;

namespace {

constexpr std::chrono::milliseconds callTimeout{3000};
// The platform responds to a watch when its timeout ends, and that response may take as long as any
// other.
constexpr std::chrono::milliseconds watchMargin{3000};
constexpr const char *versionHeader = "X-Version";

absl::StatusOr<StoreVersion> versionOf(const HttpResponse &response)
{
    const std::string *text = findHeader(response.headers, versionHeader);
    StoreVersion version;
    const char *const end = text == nullptr ? nullptr : text->data() + text->size();
    if (text == nullptr || std::from_chars(text->data(), end, version.number).ptr != end
        || version.number == 0)
        return absl::UnknownError("the platform's response has no valid version");
    return version;
}

absl::Status statusOf(const HttpResponse &response)
{
    switch (response.status) {
    case 304:
        return absl::DeadlineExceededError("no change within the timeout of the watch");
    case 404:
        return absl::NotFoundError("no such key");
    case 409:
        return absl::AbortedError("the stored version is not the expected one");
    case 413:
        return absl::InvalidArgumentError("the value exceeds the platform's size limit");
    case 429:
        return absl::ResourceExhaustedError("the platform's rate limit is exceeded");
    case 503:
        return absl::UnavailableError("the platform is unavailable");
    default:
        return absl::UnknownError("the platform responded with status "
                                  + std::to_string(response.status));
    }
}

std::string targetOf(const std::string &key)
{
    return "/v1/kv/" + key;
}

} // namespace

absl::StatusOr<StoredValue> HttpConfigStore::read(const std::string &key)
{
    return get(targetOf(key), callTimeout);
}

absl::StatusOr<StoredValue> HttpConfigStore::watch(const std::string &key, StoreVersion known,
                                                   std::chrono::milliseconds timeout)
{
    const std::string target = targetOf(key) + "?watch=" + std::to_string(known.number)
                               + "&timeoutMs=" + std::to_string(timeout.count());
    return get(target, timeout + watchMargin);
}

absl::StatusOr<StoreVersion> HttpConfigStore::compareAndSwap(const std::string &key,
                                                             StoreVersion expected,
                                                             const std::string &value)
{
    const std::string target = targetOf(key) + "?expected=" + std::to_string(expected.number);
    const auto response
            = client_.send(platform_, HttpRequest{"PUT", target, {}, value}, callTimeout);
    if (!response.ok())
        return response.status();
    if (response->status != 200)
        return statusOf(*response);
    return versionOf(*response);
}

absl::StatusOr<StoredValue> HttpConfigStore::get(const std::string &target,
                                                 std::chrono::milliseconds timeout)
{
    const auto response = client_.send(platform_, HttpRequest{"GET", target, {}, {}}, timeout);
    if (!response.ok())
        return response.status();
    if (response->status != 200)
        return statusOf(*response);
    const auto version = versionOf(*response);
    if (!version.ok())
        return version.status();
    return StoredValue{*version, response->body};
}

} // namespace boragetrack::transport::http
