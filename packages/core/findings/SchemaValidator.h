/** Checks JSON against a JSON Schema. */
#pragma once

#include "core/findings/FindingList.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace boragetrack::core::findings {

/** Holds one compiled schema and reports each location of a document that violates it. */
class SchemaValidator
{
public:
    /** Compiles the schema, which is part of the program and must be valid. */
    explicit SchemaValidator(const std::string &schemaText);
    ~SchemaValidator();
    SchemaValidator(const SchemaValidator &) = delete;
    SchemaValidator &operator=(const SchemaValidator &) = delete;

    /** Parses text and validates it.
        @returns the document, or nothing when findings were added */
    std::optional<nlohmann::json> parse(const std::string &text, FindingList &findings) const;

    /** Adds a finding for each violation in the document. */
    void validate(const nlohmann::json &document, FindingList &findings) const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation_;
};

/** Parses text as JSON; a syntax error becomes a finding and a discarded value. */
nlohmann::json parseJson(const std::string &text, FindingList &findings);

} // namespace boragetrack::core::findings
