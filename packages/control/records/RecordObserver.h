/** The interface that follows the records of a node. */
#pragma once

#include "control/records/RecordTable.h"

namespace boragetrack::control::records {

/** Handles changes of the records that a node keeps, whether they came from the store or from a
    peer. Called on the control thread. */
class RecordObserver
{
public:
    virtual ~RecordObserver() = default;

    /** Handles that records changed. @param records all records that the node keeps */
    virtual void recordsChanged(const RecordTable &records) = 0;
};

} // namespace boragetrack::control::records
