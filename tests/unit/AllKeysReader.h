/** A reader of records for tests of their copies. */
#pragma once

#include "control/records/RecordReader.h"

namespace boragetrack::tests {

/** Takes every key for a part of the intent and reads none. */
class AllKeysReader : public control::records::RecordReader
{
public:
    control::intent::IntentDocument read(const control::records::RecordTable & /*records*/,
                                         core::findings::FindingList & /*findings*/) override
    {
        return {};
    }
    bool isComplete(const control::records::RecordTable & /*records*/) const override
    {
        return true;
    }
    bool isIntentKey(const std::string & /*key*/) const override { return true; }
};

} // namespace boragetrack::tests
