/** Converts envelopes to and from JSON. The JSON library sorts the keys, so that equal
    envelopes have equal texts. */
#include "control/intent/IntentEnvelope.h"

namespace boragetrack::control::intent {

using nlohmann::json;

json toJson(const ChangeRecord &change)
{
    return json{{"changeId", change.changeId},
                {"author", change.author},
                {"time", core::timing::formatWallTime(change.time)},
                {"action", change.action},
                {"reason", change.reason}};
}

ChangeRecord changeFromJson(const json &object)
{
    ChangeRecord change;
    change.changeId = object.value("changeId", "");
    change.author = object.value("author", "");
    change.time = core::timing::parseWallTime(object.value("time", ""))
                          .value_or(core::timing::WallTime{});
    change.action = object.value("action", "");
    change.reason = object.value("reason", "");
    return change;
}

std::string IntentEnvelope::toText() const
{
    return json{{"revision", revision.number()}, {"change", toJson(change)}, {"document", document}}
            .dump();
}

std::optional<IntentEnvelope> IntentEnvelope::fromText(const std::string &text)
{
    const json root = json::parse(text, nullptr, false);
    if (!root.is_object() || !root.contains("revision") || !root.contains("document"))
        return std::nullopt;
    if (!root["revision"].is_number_unsigned() || !root.value("change", json()).is_object())
        return std::nullopt;
    try {
        return IntentEnvelope{core::identity::Revision(root["revision"].get<std::uint64_t>()),
                              changeFromJson(root["change"]), root["document"]};
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace boragetrack::control::intent
