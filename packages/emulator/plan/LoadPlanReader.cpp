/** Validates a plan against the JSON schema, and then the names by which its objects refer to each
    other. */
#include "emulator/plan/LoadPlanReader.h"

#include "core/findings/SchemaValidator.h"

#include <algorithm>

namespace boragetrack::emulator::plan {

using core::findings::FindingList;
using nlohmann::json;

namespace {

constexpr const char *schema = R"json({
"type": "object", "additionalProperties": false,
"required": ["name", "dataCentres", "services", "kinds"],
"definitions": {"share": {"type": "number", "minimum": 0, "maximum": 1},
                "name": {"type": "string", "minLength": 1},
                "count": {"type": "integer", "minimum": 1},
                "time": {"type": "number", "exclusiveMinimum": 0}},
"properties": {
  "name": {"$ref": "#/definitions/name"},
  "lengthMs": {"$ref": "#/definitions/time"},
  "localTripMs": {"$ref": "#/definitions/time"},
  "remoteTripMs": {"$ref": "#/definitions/time"},
  "dataCentres": {"type": "array", "minItems": 1, "items": {
    "type": "object", "additionalProperties": false, "required": ["name", "rate", "mix"],
    "properties": {"name": {"$ref": "#/definitions/name"}, "rate": {"$ref": "#/definitions/time"},
      "mix": {"type": "object", "additionalProperties": {"type": "number", "minimum": 0}},
      "swing": {"$ref": "#/definitions/share"}, "swingSeconds": {"$ref": "#/definitions/time"}}}},
  "services": {"type": "array", "minItems": 1, "items": {
    "type": "object", "additionalProperties": false, "required": ["name", "upstreams", "slots"],
    "properties": {"name": {"$ref": "#/definitions/name"},
      "upstreams": {"$ref": "#/definitions/count"}, "slots": {"$ref": "#/definitions/count"},
      "queue": {"type": "integer", "minimum": 0}, "coldRate": {"$ref": "#/definitions/time"},
      "coldFactor": {"type": "number", "minimum": 1}, "coldMs": {"$ref": "#/definitions/time"},
      "speeds": {"type": "array", "minItems": 1, "items": {"$ref": "#/definitions/time"}}}}},
  "kinds": {"type": "array", "minItems": 1, "items": {
    "type": "object", "additionalProperties": false, "required": ["name", "service", "workMs"],
    "properties": {"name": {"$ref": "#/definitions/name"},
      "service": {"$ref": "#/definitions/name"}, "idempotent": {"type": "boolean"},
      "priority": {"type": "integer", "minimum": 0, "maximum": 9},
      "objectiveMs": {"$ref": "#/definitions/time"}, "deadlineMs": {"$ref": "#/definitions/time"},
      "worth": {"type": "number", "minimum": 0}, "lateWorth": {"type": "number", "minimum": 0},
      "callerRepeats": {"type": "integer", "minimum": 0}, "workMs": {"$ref": "#/definitions/time"},
      "workSpread": {"type": "number", "minimum": 0}, "tailShare": {"$ref": "#/definitions/share"},
      "tailFactor": {"type": "number", "minimum": 1},
      "bytes": {"type": "integer", "minimum": 0},
      "calls": {"type": "array", "items": {
        "type": "object", "additionalProperties": false, "required": ["kind"],
        "properties": {"kind": {"$ref": "#/definitions/name"},
          "times": {"$ref": "#/definitions/count"}, "share": {"$ref": "#/definitions/share"},
          "together": {"type": "boolean"}}}}}}},
  "organisations": {"type": "array", "items": {
    "type": "object", "additionalProperties": false, "required": ["name", "weight"],
    "properties": {"name": {"$ref": "#/definitions/name"}, "weight": {"$ref": "#/definitions/time"}}}},
  "troubles": {"type": "array", "items": {
    "type": "object", "additionalProperties": false, "required": ["kind", "atMs", "lengthMs"],
    "properties": {
      "kind": {"enum": ["burst", "shift", "slow", "crash", "shed", "repeaters"]},
      "atMs": {"type": "number", "minimum": 0}, "lengthMs": {"$ref": "#/definitions/time"},
      "factor": {"$ref": "#/definitions/time"}, "share": {"$ref": "#/definitions/share"},
      "requestShare": {"$ref": "#/definitions/share"}, "where": {"$ref": "#/definitions/name"}}}}
}})json";

using Milliseconds = std::chrono::duration<double, std::milli>;

template <typename Time>
Time readTime(const json &object, const char *name, Time defaultValue)
{
    const auto found = object.find(name);
    return found == object.end() ? defaultValue
                                 : std::chrono::duration_cast<Time>(Milliseconds(*found));
}

DataCentrePlan readDataCentre(const json &object)
{
    DataCentrePlan plan;
    plan.name = object["name"];
    plan.rate = object["rate"];
    plan.mix = object["mix"].get<std::map<std::string, double>>();
    plan.rateAmplitude = object.value("swing", plan.rateAmplitude);
    plan.ratePeriod
            = std::chrono::duration<double>(object.value("swingSeconds", plan.ratePeriod.count()));
    return plan;
}

ServicePlan readService(const json &object)
{
    ServicePlan plan;
    plan.name = object["name"];
    plan.upstreams = object["upstreams"];
    plan.slots = object["slots"];
    plan.queueLimit = object.value("queue", plan.queueLimit);
    plan.speeds = object.value("speeds", plan.speeds);
    plan.coldRate = object.value("coldRate", plan.coldRate);
    plan.coldFactor = object.value("coldFactor", plan.coldFactor);
    plan.coldDuration = readTime(object, "coldMs", plan.coldDuration);
    return plan;
}

NestedCalls readCalls(const json &object)
{
    NestedCalls calls;
    calls.kind = object["kind"];
    calls.times = object.value("times", calls.times);
    calls.share = object.value("share", calls.share);
    calls.isConcurrent = object.value("together", calls.isConcurrent);
    return calls;
}

KindPlan readKind(const json &object)
{
    KindPlan plan;
    plan.name = object["name"];
    plan.service = object["service"];
    plan.isIdempotent = object.value("idempotent", plan.isIdempotent);
    plan.priority = object.value("priority", plan.priority);
    plan.objective = readTime(object, "objectiveMs", plan.objective);
    plan.deadline = readTime(object, "deadlineMs", plan.deadline);
    plan.value = object.value("worth", plan.value);
    plan.lateValue = object.value("lateWorth", plan.lateValue);
    plan.callerRetries = object.value("callerRepeats", plan.callerRetries);
    plan.serviceTime.mean = readTime(object, "workMs", plan.serviceTime.mean);
    plan.serviceTime.spread = object.value("workSpread", plan.serviceTime.spread);
    plan.serviceTime.tailShare = object.value("tailShare", plan.serviceTime.tailShare);
    plan.serviceTime.tailFactor = object.value("tailFactor", plan.serviceTime.tailFactor);
    plan.bytes = object.value("bytes", plan.bytes);
    for (const json &calls : object.value("calls", json::array()))
        plan.calls.push_back(readCalls(calls));
    return plan;
}

FaultKind faultKindOf(const std::string &name)
{
    static const std::map<std::string, FaultKind> kinds
            = {{"burst", FaultKind::Burst}, {"shift", FaultKind::Shift},
               {"slow", FaultKind::Slow},   {"crash", FaultKind::Crash},
               {"shed", FaultKind::Shed},   {"repeaters", FaultKind::RetryStorm}};
    return kinds.at(name);
}

FaultPlan readFault(const json &object)
{
    FaultPlan plan;
    plan.kind = faultKindOf(object["kind"]);
    plan.startOffset = readTime(object, "atMs", plan.startOffset);
    plan.duration = readTime(object, "lengthMs", plan.duration);
    plan.factor = object.value("factor", plan.factor);
    plan.share = object.value("share", plan.share);
    plan.requestShare = object.value("requestShare", plan.requestShare);
    plan.target = object.value("where", plan.target);
    return plan;
}

template <typename Named>
bool containsName(const std::vector<Named> &elements, const std::string &name)
{
    return std::any_of(elements.begin(), elements.end(),
                       [&](const Named &each) { return each.name == name; });
}

void checkKindReferences(const LoadPlan &plan, FindingList &findings)
{
    for (std::size_t i = 0; i < plan.kinds.size(); ++i) {
        const KindPlan &kind = plan.kinds[i];
        const std::string location = "/kinds/" + std::to_string(i);
        if (!containsName(plan.services, kind.service))
            findings.add(location + "/service", "unknown service '" + kind.service + "'");
        for (const NestedCalls &calls : kind.calls) {
            // A kind may only call kinds listed after it, which excludes cycles of nested calls.
            const auto later = plan.kinds.begin() + static_cast<std::ptrdiff_t>(i) + 1;
            const bool isLater = std::any_of(later, plan.kinds.end(), [&](const KindPlan &each) {
                return each.name == calls.kind;
            });
            if (!isLater)
                findings.add(location + "/calls",
                             "no kind '" + calls.kind + "' is listed after this kind");
        }
    }
}

void checkMixReferences(const LoadPlan &plan, FindingList &findings)
{
    for (std::size_t i = 0; i < plan.dataCentres.size(); ++i) {
        for (const auto &[kind, weight] : plan.dataCentres[i].mix) {
            if (!containsName(plan.kinds, kind))
                findings.add("/dataCentres/" + std::to_string(i) + "/mix",
                             "unknown kind '" + kind + "'");
        }
    }
}

void checkFaultTargets(const LoadPlan &plan, FindingList &findings)
{
    for (std::size_t i = 0; i < plan.faults.size(); ++i) {
        const FaultPlan &fault = plan.faults[i];
        const bool targetsService = fault.kind == FaultKind::Slow || fault.kind == FaultKind::Crash
                                    || fault.kind == FaultKind::Shed;
        const bool targetsDataCentre = fault.kind == FaultKind::Shift;
        const bool isKnown = targetsService      ? containsName(plan.services, fault.target)
                             : targetsDataCentre ? containsName(plan.dataCentres, fault.target)
                                                 : true;
        if (!isKnown)
            findings.add("/troubles/" + std::to_string(i) + "/where",
                         "unknown service or data centre '" + fault.target + "'");
    }
}

} // namespace

std::optional<LoadPlan> readLoadPlan(const json &object, FindingList &findings)
{
    static const core::findings::SchemaValidator validator(schema);
    validator.validate(object, findings);
    if (!findings.isEmpty())
        return std::nullopt;
    LoadPlan plan;
    plan.name = object["name"];
    plan.duration = readTime(object, "lengthMs", plan.duration);
    plan.localDelay = readTime(object, "localTripMs", plan.localDelay);
    plan.remoteDelay = readTime(object, "remoteTripMs", plan.remoteDelay);
    for (const json &element : object["dataCentres"])
        plan.dataCentres.push_back(readDataCentre(element));
    for (const json &element : object["services"])
        plan.services.push_back(readService(element));
    for (const json &element : object["kinds"])
        plan.kinds.push_back(readKind(element));
    for (const json &element : object.value("troubles", json::array()))
        plan.faults.push_back(readFault(element));
    for (const json &element : object.value("organisations", json::array()))
        plan.organisations.push_back({element["name"], element["weight"]});
    checkKindReferences(plan, findings);
    checkMixReferences(plan, findings);
    checkFaultTargets(plan, findings);
    if (!findings.isEmpty())
        return std::nullopt;
    return plan;
}

} // namespace boragetrack::emulator::plan
