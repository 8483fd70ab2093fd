/** Compares the scheme without regard to case. */
#include "traffic/access/BearerCredentials.h"

#include "control/intent/KeySyntax.h"

#include <absl/strings/match.h>

namespace boragetrack::traffic::access {

namespace {

constexpr std::string_view scheme = "Bearer";

} // namespace

BearerCredentials::BearerCredentials(std::string_view value)
{
    const std::size_t space = value.find(' ');
    if (!absl::EqualsIgnoreCase(std::string(value.substr(0, space)), std::string(scheme))) {
        fault_ = "the authorization has another scheme";
        return;
    }
    const std::string_view key
            = space == std::string_view::npos ? std::string_view{} : value.substr(space + 1);
    if (control::intent::isKeyText(key))
        key_ = key;
    else
        fault_ = "the key is malformed";
}

} // namespace boragetrack::traffic::access
