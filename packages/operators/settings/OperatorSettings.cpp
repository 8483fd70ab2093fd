/** Validates the settings file against a JSON schema before any value is read from it. */
#include "operators/settings/OperatorSettings.h"

#include "core/findings/SchemaValidator.h"
#include "core/findings/TextFile.h"

namespace boragetrack::operators::settings {

using nlohmann::json;

namespace {

constexpr const char *schema = R"json({
"type": "object", "additionalProperties": false,
"required": ["operator", "operatorToken", "platform", "nodes"],
"definitions": {"address": {
  "type": "object", "additionalProperties": false, "required": ["host", "port"],
  "properties": {"host": {"type": "string"},
                 "port": {"type": "integer", "minimum": 1, "maximum": 65535}}}},
"properties": {
  "operator": {"type": "string", "minLength": 1},
  "operatorToken": {"type": "string", "minLength": 8},
  "platform": {"$ref": "#/definitions/address"},
  "nodes": {"type": "array", "minItems": 1, "items": {"$ref": "#/definitions/address"}}
}})json";

core::identity::NetworkAddress addressFrom(const json &object)
{
    return {object["host"], object["port"].get<std::uint16_t>()};
}

} // namespace

std::optional<OperatorSettings> readOperatorSettings(const std::string &path,
                                                     core::findings::FindingList &findings)
{
    const auto text = core::findings::readTextFile(path);
    if (!text) {
        findings.add("", "cannot open the file");
        return std::nullopt;
    }
    const auto parsed = core::findings::SchemaValidator(std::string(schema)).parse(*text, findings);
    if (!parsed)
        return std::nullopt;
    const json &root = *parsed;
    OperatorSettings settings{
            root["operator"], root["operatorToken"], addressFrom(root["platform"]), {}};
    for (const json &node : root["nodes"])
        settings.nodes.push_back(addressFrom(node));
    return settings;
}

} // namespace boragetrack::operators::settings
