/** The record of one upstream's departure in the store. */
#pragma once

#include "control/membership/AnnouncementStamp.h"
#include "control/records/StoreRecord.h"
#include "core/identity/NodeId.h"

#include <optional>
#include <string>
#include <vector>

namespace boragetrack::control::records {

/** Returns the key of a departure. Each start of an upstream has a key of its own, so that a write
    that the store executes late can not replace a later departure. */
std::string departureRecordKey(const core::identity::NodeId &node,
                               const membership::AnnouncementStamp &departure);

/** Returns the text of a departure's record. */
std::string departureRecordText(const membership::AnnouncementStamp &departure);

/** Returns the departure in a record's text, or nothing if the text has another form. */
std::optional<membership::AnnouncementStamp> readDepartureRecord(const std::string &text);

/** Returns the departures of a node's upstreams among some records of the store. */
std::vector<membership::AnnouncementStamp> departuresAt(const core::identity::NodeId &node,
                                                        const std::vector<StoreRecord> &records);

} // namespace boragetrack::control::records
