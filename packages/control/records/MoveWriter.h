/** The interface that converts the outcome of a move to writes to the store. */
#pragma once

#include "control/intent/MoveIntent.h"
#include "control/moves/MoveRecord.h"
#include "control/records/RecordTable.h"
#include "control/records/RecordWrite.h"

#include <vector>

namespace boragetrack::control::records {

/** Maps states of moves to the records in which the platform keeps them. */
class MoveWriter
{
public:
    virtual ~MoveWriter() = default;

    /** Returns the writes that record a state. Each is conditional on the revision in the table, so
        that it fails if something else was recorded since. */
    virtual std::vector<RecordWrite> writesFor(const intent::MoveIntent &move,
                                               const moves::MoveRecord &record,
                                               const RecordTable &records) const = 0;
};

} // namespace boragetrack::control::records
