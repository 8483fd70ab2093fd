/** Validates a document against the schema, then checks the values of its fields and last the
    references between its elements. The field readers rely on the schema for the types. */
#include "control/intent/IntentParser.h"

#include "control/intent/IntentReferences.h"
#include "control/intent/IntentSchema.h"
#include "control/intent/SettingCatalogue.h"
#include "core/findings/SchemaValidator.h"

namespace boragetrack::control::intent {

using core::findings::FindingList;
using core::timing::WallTime;
using nlohmann::json;

namespace {

WallTime readTime(const json &object, const char *key, const std::string &pointer,
                  FindingList &findings)
{
    const auto time = core::timing::parseWallTime(object.value(key, ""));
    if (!time)
        findings.add(pointer + "/" + key,
                     "not a valid time; expected a format such as 2026-12-04T09:00:00Z");
    return time.value_or(WallTime{});
}

int readSetting(const std::string &name, std::int64_t value, const std::string &namePointer,
                const std::string &valuePointer, FindingList &findings)
{
    const SettingDescriptor *entry = findSetting(name);
    if (entry == nullptr) {
        findings.add(namePointer, "unknown setting '" + name + "'");
        return 0;
    }
    if (value < entry->minimum || value > entry->maximum) {
        findings.add(valuePointer, "'" + name + "' must be between "
                                           + std::to_string(entry->minimum) + " and "
                                           + std::to_string(entry->maximum));
        return 0;
    }
    return static_cast<int>(value);
}

EffectiveSettings readDefaults(const json &object, FindingList &findings)
{
    EffectiveSettings settings;
    for (const auto &[name, value] : object.items()) {
        const std::string pointer = "/defaults/" + name;
        const int number = readSetting(name, value.get<std::int64_t>(), pointer, pointer, findings);
        if (const SettingDescriptor *entry = findSetting(name))
            entry->write(settings, number);
    }
    return settings;
}

IntentException readException(const json &object, const std::string &pointer, FindingList &findings)
{
    IntentException exception;
    const json &scope = object["scope"];
    exception.id = object["id"];
    exception.scope.service = core::identity::ServiceName(scope.value("service", ""));
    exception.scope.route = core::identity::RouteName(scope.value("route", ""));
    exception.scope.dataCentre = core::identity::DataCentreId(scope.value("dataCentre", ""));
    exception.setting = object["setting"];
    exception.value = readSetting(exception.setting, object["value"].get<std::int64_t>(),
                                  pointer + "/setting", pointer + "/value", findings);
    exception.reason = object["reason"];
    exception.author = object["author"];
    exception.createdAt = readTime(object, "createdAt", pointer, findings);
    if (object.contains("expiresAt"))
        exception.expiresAt = readTime(object, "expiresAt", pointer, findings);
    return exception;
}

MoveState readMoveState(const std::string &name)
{
    if (name == "done")
        return MoveState::Done;
    return name == "takenBack" ? MoveState::TakenBack : MoveState::Running;
}

MoveIntent readMove(const json &object, const std::string &pointer, FindingList &findings)
{
    MoveIntent move;
    move.id = object["id"];
    move.service = core::identity::ServiceName(object["service"]);
    move.from = core::identity::VersionName(object["from"]);
    move.to = core::identity::VersionName(object["to"]);
    move.startAt = readTime(object, "startAt", pointer, findings);
    move.doneBy = readTime(object, "doneBy", pointer, findings);
    move.state = readMoveState(object["state"]);
    move.author = object["author"];
    move.reason = object["reason"];
    move.outcome = object.value("outcome", "");
    if (object.contains("endedAt"))
        move.endedAt = readTime(object, "endedAt", pointer, findings);
    if (move.doneBy <= move.startAt)
        findings.add(pointer + "/doneBy", "must be later than startAt");
    if (move.from == move.to)
        findings.add(pointer + "/to", "must differ from 'from'");
    return move;
}

DataCentreIntent readDataCentre(const json &object)
{
    return DataCentreIntent{core::identity::DataCentreId(object["name"]), object["region"],
                            object.value("out", false), object.value("weightPercent", 100)};
}

std::chrono::milliseconds readMilliseconds(const json &object, const char *name,
                                           std::chrono::milliseconds defaultValue)
{
    return std::chrono::milliseconds(object.value(name, defaultValue.count()));
}

Route readRoute(const json &object)
{
    Route route;
    route.name = core::identity::RouteName(object["name"]);
    route.host = object.value("host", "");
    route.pathPrefix = object["pathPrefix"];
    route.service = core::identity::ServiceName(object["service"]);
    for (const json &part : object.value("split", json::array()))
        route.split.push_back(WeightedService{core::identity::ServiceName(part["service"]),
                                              part["weight"].get<double>()});
    route.isIdempotent = object.value("idempotent", false);
    route.isPublic = object.value("public", false);
    route.priority = object.value("priority", 0);
    route.latencyObjective = readMilliseconds(object, "latencyObjectiveMs", {});
    if (object.contains("callTimeoutMs"))
        route.callTimeout = readMilliseconds(object, "callTimeoutMs", {});
    if (object.contains("attemptLimit"))
        route.attemptLimit = object["attemptLimit"].get<int>();
    return route;
}

ServiceIntent readService(const json &object)
{
    ServiceIntent service;
    service.name = core::identity::ServiceName(object["name"]);
    service.version = core::identity::VersionName(object["version"]);
    service.healthPath = object.value("healthPath", "");
    service.connectionLimit = object.value("connectionLimit", 0);
    service.coldTime = readMilliseconds(object, "coldTimeMs", {});
    service.coldRate = object.value("coldRate", 0.0);
    return service;
}

Organisation readOrganisation(const json &object)
{
    Organisation organisation;
    organisation.name = core::identity::OrganisationName(object["name"]);
    // The schema has checked that each key is a digest.
    for (const json &key : object["keys"])
        organisation.keys.push_back(
                KeyDigest::fromHex(key.get<std::string>()).value_or(KeyDigest{}));
    if (object.contains("priority"))
        organisation.priority = object["priority"].get<int>();
    return organisation;
}

CallerLimits readCallerLimits(const json &object)
{
    CallerLimits limits;
    limits.headerBytes = object.value("headerBytes", limits.headerBytes);
    limits.bodyBytes = object.value("bodyBytes", limits.bodyBytes);
    limits.headerTimeout = readMilliseconds(object, "headerTimeoutMs", limits.headerTimeout);
    limits.idleTimeout = readMilliseconds(object, "idleTimeoutMs", limits.idleTimeout);
    return limits;
}

std::string elementPointer(const char *list, std::size_t index)
{
    return std::string("/") + list + "/" + std::to_string(index);
}

IntentDocument readDocument(const json &root, FindingList &findings)
{
    IntentDocument document;
    for (const json &object : root["dataCentres"])
        document.dataCentres.push_back(readDataCentre(object));
    for (const json &object : root["services"])
        document.services.push_back(readService(object));
    for (const json &object : root["routes"])
        document.routes.push_back(readRoute(object));
    document.defaults = readDefaults(root["defaults"], findings);
    document.callerLimits = readCallerLimits(root.value("callerLimits", json::object()));
    for (std::size_t i = 0; i < root["exceptions"].size(); ++i) {
        document.exceptions.push_back(
                readException(root["exceptions"][i], elementPointer("exceptions", i), findings));
    }
    for (std::size_t i = 0; i < root["moves"].size(); ++i)
        document.moves.push_back(readMove(root["moves"][i], elementPointer("moves", i), findings));
    if (root.contains("organisations")) {
        document.organisations.emplace();
        for (const json &object : root["organisations"])
            document.organisations->push_back(readOrganisation(object));
    }
    return document;
}

} // namespace

std::optional<IntentDocument> readIntent(const json &root, FindingList &findings)
{
    static const core::findings::SchemaValidator validator{std::string(intentSchema())};
    validator.validate(root, findings);
    if (!findings.isEmpty())
        return std::nullopt;
    IntentDocument document = readDocument(root, findings);
    checkReferences(document, findings);
    if (!findings.isEmpty())
        return std::nullopt;
    return document;
}

std::optional<IntentDocument> parseIntent(const std::string &text, FindingList &findings)
{
    if (text.size() > maximumDocumentBytes) {
        findings.add("", "document of " + std::to_string(text.size())
                                 + " bytes exceeds the limit of "
                                 + std::to_string(maximumDocumentBytes));
        return std::nullopt;
    }
    const json root = core::findings::parseJson(text, findings);
    if (root.is_discarded())
        return std::nullopt;
    return readIntent(root, findings);
}

} // namespace boragetrack::control::intent
