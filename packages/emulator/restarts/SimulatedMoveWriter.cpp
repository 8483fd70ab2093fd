/** The state is one record, which is written on the condition that it has not changed. */
#include "emulator/restarts/SimulatedMoveWriter.h"

namespace boragetrack::emulator::restarts {

using control::intent::MoveState;
using control::records::RecordWrite;

namespace {

const char *nameOf(MoveState state)
{
    switch (state) {
    case MoveState::Done:
        return doneState;
    case MoveState::TakenBack:
        return takenBackState;
    case MoveState::Running:
        break;
    }
    return runningState;
}

} // namespace

std::vector<RecordWrite>
SimulatedMoveWriter::writesFor(const control::intent::MoveIntent & /*move*/,
                               const control::moves::MoveRecord &record,
                               const control::records::RecordTable &records) const
{
    const control::records::StoreRecord *held = records.find(moveStateKey);
    const core::identity::Revision expected
            = held != nullptr ? held->revision : core::identity::Revision{};
    return {RecordWrite{moveStateKey, nameOf(record.state), expected, {}}};
}

} // namespace boragetrack::emulator::restarts
