/** Access to the organisations of a stored intent, which several commands share. */
#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>
#include <string>

namespace boragetrack::operators::commands {

/** Returns the position of an organisation in the document's list. Errors: NotFound. */
absl::StatusOr<std::size_t> findOrganisation(const nlohmann::json &document,
                                             const std::string &name);

/** Returns the position of the key of an organisation whose digest starts with the given
    hexadecimal digits. Errors: InvalidArgument if the text has fewer than 4 digits or other
    characters, NotFound if no key matches, FailedPrecondition if several do. No message repeats the
    text, which may be a key that was given by mistake. */
absl::StatusOr<std::size_t> findKey(const nlohmann::json &organisation, const std::string &digits);

} // namespace boragetrack::operators::commands
