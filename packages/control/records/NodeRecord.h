/** The record under which a node registers its address in the store. */
#pragma once

#include "core/identity/NetworkAddress.h"
#include "core/identity/NodeId.h"

#include <optional>
#include <string>

namespace boragetrack::control::records {

/** The key prefix of all node records. */
inline constexpr const char *nodeRecordPrefix = "boragetrack/nodes/";

/** Returns the key of a node's record. */
std::string nodeRecordKey(const core::identity::NodeId &node);

/** Returns the text of a node record.
    @param peerAddress the address at which peers reach the node */
std::string nodeRecordText(const core::identity::NetworkAddress &peerAddress);

/** Returns the address in a record, or nothing if the text is not a node record. */
std::optional<core::identity::NetworkAddress> readNodeRecord(const std::string &text);

} // namespace boragetrack::control::records
