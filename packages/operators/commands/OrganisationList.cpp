/** Compares digests in lower case, since documents may have either. */
#include "operators/commands/OrganisationList.h"

#include <absl/strings/ascii.h>
#include <algorithm>
#include <optional>

namespace boragetrack::operators::commands {

using nlohmann::json;

namespace {

// Fewer digits could match a key by accident.
constexpr std::size_t minimumDigits = 4;

bool isHexadecimal(const std::string &text)
{
    return std::all_of(text.begin(), text.end(), [](char character) {
        return absl::ascii_isxdigit(static_cast<unsigned char>(character));
    });
}

} // namespace

absl::StatusOr<std::size_t> findOrganisation(const json &document, const std::string &name)
{
    const json organisations = document.value("organisations", json::array());
    for (std::size_t i = 0; i < organisations.size(); ++i) {
        if (organisations[i]["name"] == name)
            return i;
    }
    return absl::NotFoundError("organisation '" + name + "' does not exist");
}

absl::StatusOr<std::size_t> findKey(const json &organisation, const std::string &digits)
{
    if (digits.size() < minimumDigits || !isHexadecimal(digits))
        return absl::InvalidArgumentError(
                "the key must be given by at least 4 hexadecimal digits of its digest");
    std::optional<std::size_t> found;
    const json &keys = organisation["keys"];
    for (std::size_t i = 0; i < keys.size(); ++i) {
        const std::string digest = absl::AsciiStrToLower(keys[i].get<std::string>());
        if (!digest.starts_with(absl::AsciiStrToLower(digits)))
            continue;
        if (found)
            return absl::FailedPreconditionError("several keys have digests that start like this");
        found = i;
    }
    if (!found)
        return absl::NotFoundError("no key of the organisation has a digest that starts like this");
    return *found;
}

} // namespace boragetrack::operators::commands
