/** The intent as it is stored and spread. */
#pragma once

#include "control/intent/ChangeRecord.h"
#include "core/identity/Revision.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace boragetrack::control::intent {

/** Joins a document to its revision and to the change that made it. */
struct IntentEnvelope
{
    core::identity::Revision revision;
    ChangeRecord change;
    nlohmann::json document;

    /** Returns the canonical text; equal envelopes have equal texts. */
    std::string toText() const;

    /** Reads an envelope; returns nothing when the text is not one. */
    static std::optional<IntentEnvelope> fromText(const std::string &text);
};

/** Returns the change as JSON. */
nlohmann::json toJson(const ChangeRecord &change);

/** Reads a change from JSON; missing fields stay empty. */
ChangeRecord changeFromJson(const nlohmann::json &json);

} // namespace boragetrack::control::intent
