/** The record is a JSON object with the node's peer address and those of other nodes. Records that
    cannot be parsed are ignored, and so are other nodes' addresses that cannot. */
#include "control/records/NodeRecord.h"

#include "core/identity/AddressParser.h"

#include <nlohmann/json.hpp>

namespace boragetrack::control::records {

using core::identity::NetworkAddress;
using nlohmann::json;

std::string nodeRecordKey(const core::identity::NodeId &node)
{
    return nodeRecordPrefix + node.value();
}

std::string nodeRecordText(const NodeRecord &record)
{
    json root{{"peers", record.peerAddress.toString()}};
    for (const NetworkAddress &address : record.knownNodes)
        root["knownNodes"].push_back(address.toString());
    return root.dump();
}

std::optional<NodeRecord> readNodeRecord(const std::string &text)
{
    const json root = json::parse(text, nullptr, false);
    if (!root.is_object() || !root.contains("peers") || !root["peers"].is_string())
        return std::nullopt;
    const auto peerAddress = core::identity::parseAddress(root["peers"].get<std::string>());
    if (!peerAddress)
        return std::nullopt;
    NodeRecord record{*peerAddress, {}};
    const auto known = root.find("knownNodes");
    if (known == root.end() || !known->is_array())
        return record;
    for (const json &entry : *known) {
        const auto address = entry.is_string()
                                     ? core::identity::parseAddress(entry.get<std::string>())
                                     : std::nullopt;
        if (address && record.knownNodes.size() < maximumKnownNodes)
            record.knownNodes.push_back(*address);
    }
    return record;
}

} // namespace boragetrack::control::records
