/** Implements the fast reading of JSON. */
#include "core/findings/JsonDocument.h"

namespace boragetrack::core::findings {

JsonDocument parseJsonDocument(const std::string &text, TextEncoding encoding)
{
    constexpr unsigned plain = rapidjson::kParseIterativeFlag;
    constexpr unsigned checked = plain | rapidjson::kParseValidateEncodingFlag;
    JsonDocument document;
    if (encoding == TextEncoding::Checked)
        document.Parse<checked>(text.data(), text.size());
    else
        document.Parse<plain>(text.data(), text.size());
    if (document.HasParseError())
        document.SetNull();
    return document;
}

} // namespace boragetrack::core::findings
