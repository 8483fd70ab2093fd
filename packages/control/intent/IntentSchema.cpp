/** The schema fixes the names and types of all fields and rejects unknown fields. Settings are only
    checked for integers here; their names and ranges are in SettingCatalogue.cpp. The name of an
    organisation becomes the value of a header field, hence its pattern. */
#include "control/intent/IntentSchema.h"

namespace boragetrack::control::intent {

const char *intentSchema()
{
    return R"json({
"type": "object",
"additionalProperties": false,
"required": ["dataCentres", "services", "routes", "defaults", "exceptions", "moves"],
"properties": {
  "dataCentres": {"type": "array", "items": {
    "type": "object", "additionalProperties": false, "required": ["name", "region"],
    "properties": {
      "name": {"type": "string", "minLength": 1}, "region": {"type": "string"},
      "out": {"type": "boolean"}, "reason": {"type": "string"},
      "weightPercent": {"type": "integer", "minimum": 1, "maximum": 100}}}},
  "services": {"type": "array", "items": {
    "type": "object", "additionalProperties": false, "required": ["name", "version"],
    "properties": {
      "name": {"type": "string", "minLength": 1}, "version": {"type": "string", "minLength": 1},
      "healthPath": {"type": "string", "pattern": "^/"},
      "connectionLimit": {"type": "integer", "minimum": 1},
      "coldTimeMs": {"type": "integer", "minimum": 0},
      "coldRate": {"type": "number", "minimum": 0}}}},
  "callerLimits": {"type": "object", "additionalProperties": false, "properties": {
    "headerBytes": {"type": "integer", "minimum": 256},
    "bodyBytes": {"type": "integer", "minimum": 0},
    "headerTimeoutMs": {"type": "integer", "minimum": 1},
    "idleTimeoutMs": {"type": "integer", "minimum": 1}}},
  "routes": {"type": "array", "items": {
    "type": "object", "additionalProperties": false,
    "required": ["name", "pathPrefix", "service"],
    "properties": {
      "name": {"type": "string", "minLength": 1},
      "pathPrefix": {"type": "string", "pattern": "^/"},
      "host": {"type": "string"}, "service": {"type": "string"},
      "split": {"type": "array", "items": {
        "type": "object", "additionalProperties": false, "required": ["service", "weight"],
        "properties": {"service": {"type": "string"},
                       "weight": {"type": "number", "minimum": 0}}}},
      "idempotent": {"type": "boolean"}, "public": {"type": "boolean"},
      "priority": {"type": "integer", "minimum": 0},
      "latencyObjectiveMs": {"type": "integer", "minimum": 1},
      "callTimeoutMs": {"type": "integer", "minimum": 1},
      "attemptLimit": {"type": "integer", "minimum": 1}}}},
  "organisations": {"type": "array", "items": {
    "type": "object", "additionalProperties": false, "required": ["name", "keys"],
    "properties": {
      "name": {"type": "string", "pattern": "^[!-~]*$"},
      "keys": {"type": "array", "items": {"type": "string", "pattern": "^[0-9a-fA-F]{64}$"}},
      "priority": {"type": "integer", "minimum": 0}}}},
  "defaults": {"type": "object", "additionalProperties": {"type": "integer"}},
  "exceptions": {"type": "array", "items": {
    "type": "object", "additionalProperties": false,
    "required": ["id", "scope", "setting", "value", "reason", "author", "createdAt"],
    "properties": {
      "id": {"type": "string", "minLength": 1},
      "scope": {"type": "object", "additionalProperties": false, "minProperties": 1,
        "properties": {"service": {"type": "string"}, "route": {"type": "string"},
                       "dataCentre": {"type": "string"}}},
      "setting": {"type": "string"}, "value": {"type": "integer"},
      "reason": {"type": "string", "minLength": 1}, "author": {"type": "string"},
      "createdAt": {"type": "string"}, "expiresAt": {"type": "string"}}}},
  "moves": {"type": "array", "items": {
    "type": "object", "additionalProperties": false,
    "required": ["id", "service", "from", "to", "startAt", "doneBy", "state", "author", "reason"],
    "properties": {
      "id": {"type": "string", "minLength": 1}, "service": {"type": "string"},
      "from": {"type": "string", "minLength": 1}, "to": {"type": "string", "minLength": 1},
      "startAt": {"type": "string"}, "doneBy": {"type": "string"},
      "state": {"enum": ["running", "done", "takenBack"]},
      "author": {"type": "string"}, "reason": {"type": "string", "minLength": 1},
      "outcome": {"type": "string"}, "endedAt": {"type": "string"}}}}
}})json";
}

} // namespace boragetrack::control::intent
