/** The syntax of keys. */
#pragma once

#include <string_view>

namespace boragetrack::control::intent {

/** Returns whether a text can be a key in a request: 1 to 256 of the characters of token68 (RFC
    7235). */
bool isKeyText(std::string_view text);

} // namespace boragetrack::control::intent
