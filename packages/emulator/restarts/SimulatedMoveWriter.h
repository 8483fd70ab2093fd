/** The records of moves in simulated restarts. */
#pragma once

#include "control/records/MoveWriter.h"
#include "emulator/restarts/IntentRecords.h"

namespace boragetrack::emulator::restarts {

/** Writes the state of the simulated intent's move. */
class SimulatedMoveWriter : public control::records::MoveWriter
{
public:
    std::vector<control::records::RecordWrite>
    writesFor(const control::intent::MoveIntent &move, const control::moves::MoveRecord &record,
              const control::records::RecordTable &records) const override;
};

} // namespace boragetrack::emulator::restarts
