/** The characters of token68, and no order among them: only known keys matter in the end. */
#include "control/intent/KeySyntax.h"

namespace boragetrack::control::intent {

namespace {

constexpr std::size_t maximumLength = 256;
constexpr std::string_view characters
        = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~+/=";

} // namespace

bool isKeyText(std::string_view text)
{
    return !text.empty() && text.size() <= maximumLength
           && text.find_first_not_of(characters) == std::string_view::npos;
}

} // namespace boragetrack::control::intent
