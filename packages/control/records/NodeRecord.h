/** The record under which a node registers its address in the store. */
#pragma once

#include "core/identity/NetworkAddress.h"
#include "core/identity/NodeId.h"

#include <optional>
#include <string>
#include <vector>

namespace boragetrack::control::records {

/** The key prefix of all node records. */
inline constexpr const char *nodeRecordPrefix = "boragetrack/nodes/";

/** Returns the key of a node's record. */
std::string nodeRecordKey(const core::identity::NodeId &node);

/** The maximum number of other nodes in a record. With one record for every five nodes of a large
    data centre, each node is in several. */
inline constexpr std::size_t maximumKnownNodes = 16;

/** Contains the addresses in a node record. */
struct NodeRecord
{
    /** The address at which peers reach the node. */
    core::identity::NetworkAddress peerAddress;
    /** The same of other nodes that the node knew when it wrote the record. Most nodes have no
        record of their own, and may not reach the store after a restart. */
    std::vector<core::identity::NetworkAddress> knownNodes;
};

/** Returns the text of a node record. */
std::string nodeRecordText(const NodeRecord &record);

/** Returns the record in a text, or nothing if the text is not a node record. */
std::optional<NodeRecord> readNodeRecord(const std::string &text);

} // namespace boragetrack::control::records
