/** Makes an intent of the store's entries. */
#pragma once

#include "control/intent/IntentDocument.h"
#include "control/records/RecordTable.h"
#include "core/findings/FindingList.h"

namespace boragetrack::control::records {

/** Translates entries into a document. An entry that can not be read counts as its last readable
    change, and the others hold. */
class RecordReader
{
public:
    virtual ~RecordReader() = default;

    /** Returns the document; adds a finding for each entry that can not be read. */
    virtual intent::IntentDocument read(const RecordTable &records,
                                        core::findings::FindingList &findings)
            = 0;

    /** Returns whether the entries that callers can be served with are there. */
    virtual bool isComplete(const RecordTable &records) const = 0;

    /** Returns whether a key belongs to the intent; others are not passed on to peers. */
    virtual bool isIntentKey(const std::string &key) const = 0;
};

} // namespace boragetrack::control::records
