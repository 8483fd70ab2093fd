/** Validation of JSON against a JSON Schema. */
#pragma once

#include "core/findings/FindingList.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace boragetrack::core::findings {

/** Holds a compiled schema and reports each location of a document that violates it. */
class SchemaValidator
{
public:
    /** Compiles a schema. @param schemaText must be valid; otherwise throws, because schemas are
        part of the program */
    explicit SchemaValidator(const std::string &schemaText);
    ~SchemaValidator();
    SchemaValidator(const SchemaValidator &) = delete;
    SchemaValidator &operator=(const SchemaValidator &) = delete;

    /** Parses and validates text.
        @returns the document, or nothing if findings were added */
    std::optional<nlohmann::json> parse(const std::string &text, FindingList &findings) const;

    /** Validates a document and adds a finding for each violation. */
    void validate(const nlohmann::json &document, FindingList &findings) const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation_;
};

/** Parses text as JSON. @returns the document; a discarded value, with a finding, after a syntax
    error */
nlohmann::json parseJson(const std::string &text, FindingList &findings);

} // namespace boragetrack::core::findings
