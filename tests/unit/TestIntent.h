/** Intents for tests. */
#pragma once

#include "control/intent/IntentEnvelope.h"

#include <nlohmann/json.hpp>
#include <string>

namespace boragetrack::tests {

/** Returns a valid document with two data centres, one service and one route. */
inline nlohmann::json intentJson()
{
    return nlohmann::json::parse(R"({
      "dataCentres": [{"name": "ikeja", "region": "lagos"}, {"name": "lekki", "region": "lagos"}],
      "services": [{"name": "payments", "version": "v1"}],
      "routes": [{"name": "deposits", "pathPrefix": "/payments/deposits", "service": "payments"}],
      "defaults": {"callTimeoutMs": 500}, "exceptions": [], "moves": []})");
}

/** Returns an exception for the setting callTimeoutMs. */
inline nlohmann::json exceptionJson(const std::string &id, const nlohmann::json &scope, int value)
{
    return {{"id", id},
            {"scope", scope},
            {"setting", "callTimeoutMs"},
            {"value", value},
            {"reason", "tested"},
            {"author", "tester"},
            {"createdAt", "2026-11-01T00:00:00Z"}};
}

/** Returns a running move from v1 to v2 that lasts two minutes. */
inline nlohmann::json moveJson(const std::string &id, const std::string &service)
{
    return {{"id", id},
            {"service", service},
            {"from", "v1"},
            {"to", "v2"},
            {"startAt", "2026-12-04T10:00:00Z"},
            {"doneBy", "2026-12-04T10:02:00Z"},
            {"state", "running"},
            {"author", "tester"},
            {"reason", "tested"}};
}

/** Returns the text of an envelope with the given document. */
inline std::string envelopeText(std::uint64_t revision, const nlohmann::json &document)
{
    control::intent::IntentEnvelope envelope{core::identity::Revision(revision), {}, document};
    envelope.change.changeId = "change-" + std::to_string(revision);
    envelope.change.author = "tester";
    return envelope.toText();
}

/** Returns the text of an envelope with a valid document whose callTimeoutMs is 500 plus the
    revision. */
inline std::string envelopeText(std::uint64_t revision)
{
    nlohmann::json document = intentJson();
    document["defaults"]["callTimeoutMs"] = 500 + revision;
    return envelopeText(revision, document);
}

} // namespace boragetrack::tests
