/** Runs RapidJSON's iterative parser, with or without validation of the encoding. */
#include "core/findings/JsonDocument.h"

namespace boragetrack::core::findings {

JsonDocument parseJsonDocument(const std::string &text, TextEncoding encoding)
{
    constexpr unsigned iterative = rapidjson::kParseIterativeFlag;
    constexpr unsigned iterativeWithEncoding = iterative | rapidjson::kParseValidateEncodingFlag;
    JsonDocument document;
    if (encoding == TextEncoding::Checked)
        document.Parse<iterativeWithEncoding>(text.data(), text.size());
    else
        document.Parse<iterative>(text.data(), text.size());
    if (document.HasParseError())
        document.SetNull();
    return document;
}

} // namespace boragetrack::core::findings
