/** A node's own entry in the store. */
#pragma once

#include "core/identity/NetworkAddress.h"
#include "core/identity/NodeId.h"

#include <optional>
#include <string>

namespace boragetrack::control::records {

/** The prefix of all nodes' entries. */
inline constexpr const char *nodeRecordPrefix = "boragetrack/nodes/";

/** Returns the key of a node's entry. */
std::string nodeRecordKey(const core::identity::NodeId &node);

/** Returns the text of the entry of a node that peers reach at an address. */
std::string nodeRecordText(const core::identity::NetworkAddress &peerAddress);

/** Returns the address in an entry; nothing when the text is no entry of a node. */
std::optional<core::identity::NetworkAddress> readNodeRecord(const std::string &text);

} // namespace boragetrack::control::records
