/** Parser and validator of intent documents. */
#pragma once

#include "control/intent/IntentDocument.h"
#include "core/findings/FindingList.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace boragetrack::control::intent {

/** The largest document that the platform stores, in bytes. */
inline constexpr std::size_t maximumDocumentBytes = 1'000'000;

/** Parses and validates the text of a document.
    @returns the document, or nothing when findings were added */
std::optional<IntentDocument> parseIntent(const std::string &text,
                                          core::findings::FindingList &findings);

/** Validates a document that is already parsed as JSON.
    @returns the document, or nothing when findings were added */
std::optional<IntentDocument> readIntent(const nlohmann::json &json,
                                         core::findings::FindingList &findings);

} // namespace boragetrack::control::intent
