/** Implements the reading of the command line's settings. */
#include "operators/settings/OperatorSettings.h"

#include "core/findings/SchemaValidator.h"

#include <fstream>
#include <sstream>

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
    std::ifstream file(path);
    if (!file) {
        findings.add("", "cannot open the file");
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    const json root = core::findings::parseJson(text.str(), findings);
    if (root.is_discarded())
        return std::nullopt;
    core::findings::SchemaValidator(std::string(schema)).validate(root, findings);
    if (!findings.isEmpty())
        return std::nullopt;
    OperatorSettings settings{
            root["operator"], root["operatorToken"], addressFrom(root["platform"]), {}};
    for (const json &node : root["nodes"])
        settings.nodes.push_back(addressFrom(node));
    return settings;
}

} // namespace boragetrack::operators::settings
