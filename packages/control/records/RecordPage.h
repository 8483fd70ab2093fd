/** A part of a listing of the store. */
#pragma once

#include "control/records/StoreRecord.h"

#include <vector>

namespace boragetrack::control::records {

/** Holds some entries in the order of their keys. */
struct RecordPage
{
    std::vector<StoreRecord> records;
    /** The store's revision when the page was read. */
    core::identity::Revision revision;
    /** Whether further entries follow after the last one. */
    bool isTruncated = false;
};

} // namespace boragetrack::control::records
