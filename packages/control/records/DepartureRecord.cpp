/** The record is a JSON object with the instance, its start in milliseconds since 1970 if known,
    and the sequence number of the announcement. The key has no instance name as given, since names
    may be longer than the store's keys. */
#include "control/records/DepartureRecord.h"

#include "core/hashing/StableHash.h"

#include <nlohmann/json.hpp>

namespace boragetrack::control::records {

using core::identity::NodeId;
using core::timing::WallTime;
using membership::AnnouncementStamp;
using nlohmann::json;

namespace {

std::string keyPrefixOf(const NodeId &node)
{
    return "boragetrack/departures/" + node.value() + "/";
}

} // namespace

std::string departureRecordKey(const NodeId &node, const AnnouncementStamp &departure)
{
    const auto startedAt
            = departure.startedAt ? departure.startedAt->time_since_epoch().count() : 0;
    return keyPrefixOf(node) + std::to_string(core::hashing::stableHash(departure.instance)) + "-"
           + std::to_string(startedAt);
}

std::string departureRecordText(const AnnouncementStamp &departure)
{
    json text{{"instance", departure.instance}, {"sequence", departure.sequence}};
    if (departure.startedAt)
        text["startedAtMs"] = departure.startedAt->time_since_epoch().count();
    // The instance name comes from outside and need not be valid UTF-8.
    return text.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<AnnouncementStamp> readDepartureRecord(const std::string &text)
{
    const json root = json::parse(text, nullptr, false);
    const bool isRecord = root.is_object() && root.contains("instance")
                          && root["instance"].is_string() && root.contains("sequence")
                          && root["sequence"].is_number_unsigned();
    if (!isRecord)
        return std::nullopt;
    AnnouncementStamp departure{root["instance"].get<std::string>(),
                                root["sequence"].get<std::uint64_t>(), std::nullopt};
    if (root.contains("startedAtMs") && root["startedAtMs"].is_number_integer())
        departure.startedAt
                = WallTime(std::chrono::milliseconds(root["startedAtMs"].get<std::int64_t>()));
    return departure;
}

std::vector<AnnouncementStamp> departuresAt(const NodeId &node,
                                            const std::vector<StoreRecord> &records)
{
    const std::string prefix = keyPrefixOf(node);
    std::vector<AnnouncementStamp> departures;
    for (const StoreRecord &record : records) {
        if (record.isRemoved || !record.key.starts_with(prefix))
            continue;
        if (auto departure = readDepartureRecord(record.text))
            departures.push_back(std::move(*departure));
    }
    return departures;
}

} // namespace boragetrack::control::records
