/** The record is a JSON object with the node's peer address. Records that cannot be parsed are
    ignored. */
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

std::string nodeRecordText(const NetworkAddress &peerAddress)
{
    return json{{"peers", peerAddress.toString()}}.dump();
}

std::optional<NetworkAddress> readNodeRecord(const std::string &text)
{
    const json root = json::parse(text, nullptr, false);
    if (!root.is_object() || !root.contains("peers") || !root["peers"].is_string())
        return std::nullopt;
    return core::identity::parseAddress(root["peers"].get<std::string>());
}

} // namespace boragetrack::control::records
