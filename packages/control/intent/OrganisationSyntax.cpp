/** field-value of RFC 9110 without tabs, which would read as spaces. */
#include "control/intent/OrganisationSyntax.h"

#include <algorithm>

namespace boragetrack::control::intent {

namespace {

bool isControlCharacter(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return byte < 0x20 || byte == 0x7f;
}

} // namespace

bool isOrganisationName(std::string_view text)
{
    return !text.empty() && text.front() != ' ' && text.back() != ' '
           && std::none_of(text.begin(), text.end(), isControlCharacter);
}

} // namespace boragetrack::control::intent
