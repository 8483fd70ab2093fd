/** Implements SchemaValidator with valijson. */
#include "core/findings/SchemaValidator.h"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace boragetrack::core::findings {

struct SchemaValidator::Implementation
{
    valijson::Schema schema;
};

namespace {

// valijson names a location as "<root>", "[key]", "[0]"; a JSON pointer joins the keys by "/".
std::string pointerFrom(const std::vector<std::string> &context)
{
    std::string pointer;
    for (const std::string &part : context) {
        if (part.size() >= 2 && part.front() == '[')
            pointer += "/" + part.substr(1, part.size() - 2);
    }
    return pointer;
}

// A violation also yields one summary error for each enclosing value; only the innermost helps.
bool isSummary(const std::string &description)
{
    return description.rfind("Failed to validate against schema", 0) == 0;
}

} // namespace

SchemaValidator::SchemaValidator(const std::string &schemaText)
    : implementation_(std::make_unique<Implementation>())
{
    const nlohmann::json schemaJson = nlohmann::json::parse(schemaText);
    valijson::adapters::NlohmannJsonAdapter adapter(schemaJson);
    valijson::SchemaParser().populateSchema(adapter, implementation_->schema);
}

SchemaValidator::~SchemaValidator() = default;

std::optional<nlohmann::json> SchemaValidator::parse(const std::string &text,
                                                     FindingList &findings) const
{
    nlohmann::json document = parseJson(text, findings);
    if (document.is_discarded())
        return std::nullopt;
    validate(document, findings);
    if (!findings.isEmpty())
        return std::nullopt;
    return document;
}

void SchemaValidator::validate(const nlohmann::json &document, FindingList &findings) const
{
    valijson::Validator validator;
    valijson::ValidationResults results;
    valijson::adapters::NlohmannJsonAdapter adapter(document);
    if (validator.validate(implementation_->schema, adapter, &results))
        return;
    valijson::ValidationResults::Error error;
    while (results.popError(error)) {
        if (!isSummary(error.description))
            findings.add(pointerFrom(error.context), error.description);
    }
    if (findings.isEmpty())
        findings.add("", "does not match the schema");
}

nlohmann::json parseJson(const std::string &text, FindingList &findings)
{
    try {
        return nlohmann::json::parse(text);
    } catch (const nlohmann::json::parse_error &error) {
        findings.add("", "not JSON, at byte " + std::to_string(error.byte));
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
}

} // namespace boragetrack::core::findings
