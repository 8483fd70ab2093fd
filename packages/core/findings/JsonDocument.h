/** The fast reading of JSON that others wrote. */
#pragma once

#include <rapidjson/document.h>
#include <string>

namespace boragetrack::core::findings {

using JsonValue = rapidjson::Value;
using JsonDocument = rapidjson::Document;

/** Whether the texts in a document must be UTF-8. */
enum class TextEncoding {
    Checked,
    /** For documents of our own that carry entries of others, whatever bytes these hold. */
    Unchecked,
};

/** Parses JSON without recursion, so that deep nesting does no harm. Used where documents are large
    or come often; a configuration of thousands of routes takes a few milliseconds.
    @returns a document that is null when the text is no JSON; its parse error tells where */
JsonDocument parseJsonDocument(const std::string &text,
                               TextEncoding encoding = TextEncoding::Checked);

} // namespace boragetrack::core::findings
