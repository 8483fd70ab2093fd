/** Fast parsing of JSON from external sources. */
#pragma once

#include <rapidjson/document.h>
#include <string>

namespace boragetrack::core::findings {

using JsonValue = rapidjson::Value;
using JsonDocument = rapidjson::Document;

/** Whether strings in a document must be valid UTF-8. */
enum class TextEncoding {
    Checked,
    /** For documents of this product that embed external records, which may contain any bytes. */
    Unchecked,
};

/** Parses JSON iteratively, so that deep nesting cannot overflow the stack. Meant for large or
    frequent documents; a configuration of thousands of routes takes a few milliseconds.
    @returns the document; null if the text is not JSON, with the parse error and its offset set */
JsonDocument parseJsonDocument(const std::string &text,
                               TextEncoding encoding = TextEncoding::Checked);

} // namespace boragetrack::core::findings
