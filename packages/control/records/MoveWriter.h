/** Turns the outcome of a move into writes of the store. */
#pragma once

#include "control/intent/MoveIntent.h"
#include "control/moves/MoveRecord.h"
#include "control/records/RecordTable.h"
#include "control/records/RecordWrite.h"

#include <vector>

namespace boragetrack::control::records {

/** Knows in which entries the states of moves are kept. */
class MoveWriter
{
public:
    virtual ~MoveWriter() = default;

    /** Returns the writes that record a state, each under the condition that nothing else was
        recorded since the table's last news. */
    virtual std::vector<RecordWrite> writesFor(const intent::MoveIntent &move,
                                               const moves::MoveRecord &record,
                                               const RecordTable &records) const = 0;
};

} // namespace boragetrack::control::records
