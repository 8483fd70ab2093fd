/** The form in which the intent is stored and propagated. */
#pragma once

#include "control/intent/ChangeRecord.h"
#include "core/identity/Revision.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace boragetrack::control::intent {

/** Combines a document with its revision and the change that produced it. */
struct IntentEnvelope
{
    core::identity::Revision revision;
    ChangeRecord change;
    nlohmann::json document;

    /** Returns the canonical text; equal envelopes have equal texts. */
    std::string toText() const;

    /** Parses an envelope. @returns nothing if the text is not a valid envelope */
    static std::optional<IntentEnvelope> fromText(const std::string &text);
};

/** Returns the change as JSON. */
nlohmann::json toJson(const ChangeRecord &change);

/** Reads a change from JSON; missing fields become empty.
    @throws nlohmann::json::exception when a field has the wrong type */
ChangeRecord changeFromJson(const nlohmann::json &json);

} // namespace boragetrack::control::intent
