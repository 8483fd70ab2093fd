/** The intents of simulated restarts. */
#pragma once

#include "control/records/RecordReader.h"
#include "emulator/restarts/IntentRecords.h"

namespace boragetrack::emulator::restarts {

/** Builds an intent with one service and one route, and with a move once it is ordered. */
class SimulatedRecordReader : public control::records::RecordReader
{
public:
    control::intent::IntentDocument read(const control::records::RecordTable &records,
                                         core::findings::FindingList &findings) override;
    bool isComplete(const control::records::RecordTable &records) const override
    {
        return records.find(intentKey) != nullptr;
    }
    bool isIntentKey(const std::string &key) const override
    {
        return key.starts_with(intentKeyPrefix);
    }
};

} // namespace boragetrack::emulator::restarts
