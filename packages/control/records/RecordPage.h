/** One page of a listing of the store. */
#pragma once

#include "control/records/StoreRecord.h"

#include <vector>

namespace boragetrack::control::records {

/** Holds consecutive records in the order of their keys. */
struct RecordPage
{
    std::vector<StoreRecord> records;
    /** The store's revision when the page was read. */
    core::identity::Revision revision;
    /** Whether more records follow the last one. */
    bool isTruncated = false;
};

} // namespace boragetrack::control::records
