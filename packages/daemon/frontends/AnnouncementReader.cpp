/** Implements the reading of announcements. */
#include "daemon/frontends/AnnouncementReader.h"

#include "core/findings/SchemaValidator.h"

namespace boragetrack::daemon::frontends {

using control::membership::UpstreamState;
using nlohmann::json;

namespace {

constexpr const char *schema = R"json({
"type": "object", "additionalProperties": false,
"required": ["service", "version", "host", "port", "slots", "state", "instance"],
"properties": {
  "service": {"type": "string", "minLength": 1}, "version": {"type": "string", "minLength": 1},
  "host": {"type": "string"}, "port": {"type": "integer", "minimum": 1, "maximum": 65535},
  "slots": {"type": "integer", "minimum": 1, "maximum": 10000},
  "state": {"enum": ["serving", "draining"]}, "instance": {"type": "string", "minLength": 1}
}})json";

} // namespace

std::optional<transport::serving::UpstreamStatus>
readAnnouncement(const std::string &text, const std::string &host,
                 core::findings::FindingList &findings)
{
    static const core::findings::SchemaValidator validator{std::string(schema)};
    const auto parsed = validator.parse(text, findings);
    if (!parsed)
        return std::nullopt;
    const json &root = *parsed;
    if (root["host"] != host) {
        findings.add("/host", "the upstream must run on this node's VM, " + host);
        return std::nullopt;
    }
    transport::serving::UpstreamStatus status;
    status.record.service = core::identity::ServiceName(root["service"]);
    status.record.version = core::identity::VersionName(root["version"]);
    status.record.state
            = root["state"] == "draining" ? UpstreamState::Draining : UpstreamState::Serving;
    status.record.slots = root["slots"];
    status.address = {root["host"], root["port"].get<std::uint16_t>()};
    status.instance = root["instance"];
    return status;
}

} // namespace boragetrack::daemon::frontends
