/** The value of an Authorization field with a bearer key (RFC 6750). */
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace boragetrack::traffic::access {

/** Takes the key out of a field value, strictly: a value that readers could understand differently
    has no key. */
class BearerCredentials
{
public:
    /** Reads the value of an Authorization field: the scheme "Bearer" in any case, one space, and a
        key with the syntax of control::intent::isKeyText(). */
    explicit BearerCredentials(std::string_view value);

    /** Returns the key; nothing if the value has another form. Refers to the value. */
    std::optional<std::string_view> key() const { return key_; }

    /** Returns why there is no key, without any part of the value; empty if there is one. */
    std::string fault() const { return fault_; }

private:
    std::optional<std::string_view> key_;
    const char *fault_ = "";
};

} // namespace boragetrack::traffic::access
