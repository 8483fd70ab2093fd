/** Validates settings against a schema first, then checks addresses and values across fields. */
#include "daemon/settings/SettingsReader.h"

#include "core/findings/SchemaValidator.h"
#include "core/findings/TextFile.h"
#include "core/identity/AddressParser.h"
#include "daemon/settings/UsageSettingsReader.h"
#include "platform/DeploymentTerms.h"

#include <absl/strings/numbers.h>
#include <cmath>
#include <map>

namespace boragetrack::daemon::settings {

using core::findings::FindingList;
using core::identity::NetworkAddress;
using nlohmann::json;

namespace {

constexpr const char *schema = R"json({
"type": "object",
"additionalProperties": false,
"required": ["node", "dataCentre", "callers", "peers", "operators", "platform", "seeds"],
"if": {"properties": {"interface": {"const": "platform"}}, "required": ["interface"]},
"then": {"required": ["announcements", "readiness", "service", "dataCentres"]},
"else": {"required": ["operatorToken"]},
"definitions": {
  "address": {"oneOf": [
    {"type": "string"},
    {"type": "object", "additionalProperties": false, "required": ["host", "port"],
     "properties": {"host": {"type": "string"},
                    "port": {"type": "integer", "minimum": 1, "maximum": 65535}}}]},
  "seconds": {"anyOf": [{"type": "number"}, {"type": "string"}]}},
"properties": {
  "node": {"type": "string", "pattern": "^[A-Za-z0-9._-]+$"},
  "dataCentre": {"type": "string", "minLength": 1},
  "callers": {"$ref": "#/definitions/address"},
  "peers": {"$ref": "#/definitions/address"},
  "peersReachableAt": {"$ref": "#/definitions/address"},
  "operators": {"$ref": "#/definitions/address"},
  "operatorToken": {"type": "string", "minLength": 8},
  "platform": {"$ref": "#/definitions/address"},
  "seeds": {"type": "array", "items": {"$ref": "#/definitions/address"}},
  "interface": {"enum": ["own", "platform"]},
  "announcements": {"$ref": "#/definitions/address"},
  "readiness": {"$ref": "#/definitions/address"},
  "metrics": {"$ref": "#/definitions/address"},
  "service": {"type": "string", "minLength": 1},
  "dataCentres": {"type": "array", "items": {"type": "string", "minLength": 1}},
  "repeats": {"type": "object", "additionalProperties": false,
    "required": ["windowSeconds", "reserve"],
    "properties": {"windowSeconds": {"type": "number", "minimum": 0.1},
                   "reserve": {"type": "number", "minimum": 0}}},
  "crossing": {"type": "object", "additionalProperties": false,
    "properties": {"bytesWorthACall": {"type": "integer", "minimum": 1}}},
  "keyFreshness": {"type": "object", "additionalProperties": false, "required": ["limitSeconds"],
    "properties": {"strict": {"anyOf": [{"type": "boolean"}, {"type": "string"}]},
                   "limitSeconds": {"type": "number", "minimum": 0, "maximum": 86400}}},
  "announcementLifeMs": {"type": "integer", "minimum": 1},
  "graceSeconds": {"anyOf": [{"type": "number", "minimum": 2}, {"type": "string"}]},
  "usageReports": {"type": "object", "additionalProperties": false, "required": ["receiver"],
    "properties": {"receiver": {"type": "string"},
                   "windowSeconds": {"$ref": "#/definitions/seconds"},
                   "lateSeconds": {"$ref": "#/definitions/seconds"},
                   "leaseSeconds": {"$ref": "#/definitions/seconds"},
                   "callsPerSecond": {"$ref": "#/definitions/seconds"}}},
  "duties": {"type": "array", "items": {"type": "string"}},
  "urgencyFirst": {"type": "boolean"},
  "contracts": {"type": "array", "items": {"type": "string"}},
  "memoryMegabytes": {"anyOf": [{"type": "number"}, {"type": "string"}]},
  "experiment": {"type": "object", "additionalProperties": false, "properties": {
    "baselinePolicies": {"type": "boolean"}, "watchAlways": {"type": "boolean"}}}
}})json";

constexpr double minimumGraceSeconds = 2.0;
constexpr double maximumGraceSeconds = 3600.0;

// The budget of a smaller VM would not hold the largest body.
constexpr double minimumMemoryMegabytes = 64.0;
constexpr double maximumMemoryMegabytes = 1024.0 * 1024.0;
constexpr std::size_t bytesPerMegabyte = 1'000'000;

// A node uses only this fraction of the shared retry budget: nodes do not exchange how much they
// have spent, and some calls are retries that no node can recognise as such.
constexpr double sharedBudgetFraction = 0.5;

NetworkAddress readAddress(const json &object, const std::string &pointer, FindingList &findings)
{
    if (object.is_string()) {
        const auto parsed = core::identity::parseAddress(object.get<std::string>());
        if (!parsed)
            findings.add(pointer, object.dump() + " is not an address like 10.0.0.1:80");
        return parsed.value_or(NetworkAddress{});
    }
    const NetworkAddress address{object["host"], object["port"].get<std::uint16_t>()};
    if (!core::identity::isIpv4Address(address.host))
        findings.add(pointer + "/host", "'" + address.host + "' is not an IPv4 address");
    return address;
}

void checkDistinct(const NodeSettings &settings, FindingList &findings)
{
    std::map<NetworkAddress, std::string> used;
    const std::pair<const char *, const NetworkAddress &> listeners[]
            = {{"/callers", settings.callers},
               {"/peers", settings.peers},
               {"/operators", settings.operators}};
    for (const auto &[pointer, address] : listeners) {
        const auto [it, isNew] = used.emplace(address, pointer);
        if (!isNew)
            findings.add(std::string(pointer) + "/port",
                         address.toString() + " is already used by " + it->second);
    }
}

} // namespace

// The platform's limit applies to all nodes together, and also counts the nested calls of retried
// calls.
traffic::retry::RetryLimits readRetryLimits(const json &object)
{
    traffic::retry::RetryLimits limits;
    limits.window = std::chrono::round<std::chrono::milliseconds>(
            std::chrono::duration<double>(object["windowSeconds"].get<double>()));
    limits.reserve = object["reserve"].get<double>() * sharedBudgetFraction;
    limits.isReserveShared = true;
    limits.budgetFraction = sharedBudgetFraction;
    return limits;
}

// Reads a number that the platform may fill in as text. Returns nothing for an empty text, which a
// platform fills in that does not know the number, and for one out of range.
std::optional<double> readNumber(const json &value, double minimum, double maximum,
                                 const std::string &pointer, FindingList &findings)
{
    double number = 0.0;
    if (value.is_number())
        number = value.get<double>();
    else if (value.get<std::string>().empty())
        return std::nullopt;
    else if (!absl::SimpleAtod(value.get<std::string>(), &number))
        number = minimum - 1.0;
    if (number >= minimum && number <= maximum)
        return number;
    findings.add(pointer, value.dump() + " is not a number from "
                                  + std::to_string(std::lround(minimum)) + " to "
                                  + std::to_string(std::lround(maximum)));
    return std::nullopt;
}

void readMemory(const json &root, NodeSettings &settings, FindingList &findings)
{
    if (!root.contains("memoryMegabytes"))
        return;
    const auto megabytes = readNumber(root["memoryMegabytes"], minimumMemoryMegabytes,
                                      maximumMemoryMegabytes, "/memoryMegabytes", findings);
    if (megabytes)
        settings.memoryBytes = static_cast<std::size_t>(*megabytes * bytesPerMegabyte);
}

// A platform that does not know the grace period fills in an empty text; the default then applies.
void readGracePeriod(const json &value, NodeSettings &settings, FindingList &findings)
{
    double seconds = 0.0;
    if (value.is_number())
        seconds = value.get<double>();
    else if (value.get<std::string>().empty())
        return;
    else if (!absl::SimpleAtod(value.get<std::string>(), &seconds))
        seconds = 0.0;
    if (!(seconds >= minimumGraceSeconds && seconds <= maximumGraceSeconds)) {
        findings.add("/graceSeconds", value.dump() + " is not a number of seconds from 2 to 3600");
        return;
    }
    settings.stopGracePeriod
            = std::chrono::round<std::chrono::milliseconds>(std::chrono::duration<double>(seconds));
}

// A platform that does not know whether keys expire fills in an empty text; they don't then.
void readKeyFreshness(const json &object, NodeSettings &settings, FindingList &findings)
{
    using std::chrono::milliseconds;
    const json strict = object.value("strict", json(false));
    bool &isStrict = settings.keyFreshness.isStrict;
    const bool isText = strict.is_string() && !strict.get<std::string>().empty();
    if (strict.is_boolean())
        isStrict = strict.get<bool>();
    else if (isText && !absl::SimpleAtob(strict.get<std::string>(), &isStrict))
        findings.add("/keyFreshness/strict", strict.dump() + " is neither true nor false");
    settings.keyFreshness.limit = std::chrono::round<milliseconds>(
            std::chrono::duration<double>(object["limitSeconds"].get<double>()));
    if (isStrict && settings.interface == NodeInterface::Native)
        findings.add(
                "/keyFreshness/strict",
                "is possible only with the platform's interface: the native store has no probes");
}

void readPlatformSettings(const json &root, NodeSettings &settings, FindingList &findings)
{
    settings.isUrgencyFirst = root.value("urgencyFirst", false);
    settings.announcementTimeout = std::chrono::milliseconds(
            root.value("announcementLifeMs", settings.announcementTimeout.count()));
    if (root.value("interface", "own") != "platform")
        return;
    settings.interface = NodeInterface::Platform;
    const auto terms
            = platform::readDeploymentTerms(root.value("contracts", std::vector<std::string>()));
    settings.isUrgencyFirst = root.value("urgencyFirst", terms.isUrgencyFirst);
    if (root.contains("repeats"))
        settings.retryLimits = readRetryLimits(root["repeats"]);
    if (root.contains("graceSeconds"))
        readGracePeriod(root["graceSeconds"], settings, findings);
    settings.announcements = readAddress(root["announcements"], "/announcements", findings);
    settings.readiness = readAddress(root["readiness"], "/readiness", findings);
    if (root.contains("metrics"))
        settings.metrics = readAddress(root["metrics"], "/metrics", findings);
    settings.service = core::identity::ServiceName(root["service"]);
    for (const json &name : root["dataCentres"])
        settings.dataCentres.emplace_back(name.get<std::string>());
}

std::optional<NodeSettings> readSettings(const std::string &text, FindingList &findings)
{
    static const core::findings::SchemaValidator validator{std::string(schema)};
    const auto parsed = validator.parse(text, findings);
    if (!parsed)
        return std::nullopt;
    const json &root = *parsed;
    NodeSettings settings;
    settings.node = core::identity::NodeId(root["node"]);
    settings.dataCentre = core::identity::DataCentreId(root["dataCentre"]);
    settings.callers = readAddress(root["callers"], "/callers", findings);
    settings.peers = readAddress(root["peers"], "/peers", findings);
    settings.advertisedPeerAddress = settings.peers;
    if (root.contains("peersReachableAt"))
        settings.advertisedPeerAddress
                = readAddress(root["peersReachableAt"], "/peersReachableAt", findings);
    settings.operators = readAddress(root["operators"], "/operators", findings);
    settings.operatorToken = root.value("operatorToken", "");
    settings.platform = readAddress(root["platform"], "/platform", findings);
    readMemory(root, settings, findings);
    for (std::size_t i = 0; i < root["seeds"].size(); ++i)
        settings.seeds.push_back(
                readAddress(root["seeds"][i], "/seeds/" + std::to_string(i), findings));
    const json experiment = root.value("experiment", json::object());
    settings.usesBaselinePolicies = experiment.value("baselinePolicies", false);
    settings.watchesAlways = experiment.value("watchAlways", false);
    settings.crossDataCentreCost.bytesWorthACall
            = root.value("crossing", json::object())
                      .value("bytesWorthACall", settings.crossDataCentreCost.bytesWorthACall);
    readPlatformSettings(root, settings, findings);
    if (root.contains("keyFreshness"))
        readKeyFreshness(root["keyFreshness"], settings, findings);
    settings.usageReports = readUsageReports(root, settings.interface, findings);
    checkDistinct(settings, findings);
    if (!findings.isEmpty())
        return std::nullopt;
    return settings;
}

std::optional<NodeSettings> readSettingsFile(const std::string &path, FindingList &findings)
{
    const auto text = core::findings::readTextFile(path);
    if (!text) {
        findings.add("", "cannot open the file");
        return std::nullopt;
    }
    return readSettings(*text, findings);
}

} // namespace boragetrack::daemon::settings
