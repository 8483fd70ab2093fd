/** The interface that builds an intent from the records of the store. */
#pragma once

#include "control/intent/IntentDocument.h"
#include "control/records/RecordTable.h"
#include "core/findings/FindingList.h"

namespace boragetrack::control::records {

/** Translates records to a document. For a record that cannot be read, its last readable content
    is used; the others take effect. */
class RecordReader
{
public:
    virtual ~RecordReader() = default;

    /** Returns the document.
        @param findings receives one finding for each record that cannot be read */
    virtual intent::IntentDocument read(const RecordTable &records,
                                        core::findings::FindingList &findings)
            = 0;

    /** Returns whether the records required to serve callers are present. */
    virtual bool isComplete(const RecordTable &records) const = 0;

    /** Returns whether a key belongs to the intent. */
    virtual bool isIntentKey(const std::string &key) const = 0;

    /** Returns whether every node keeps the record of a key and sends it to peers, though it does
        not belong to the intent. */
    virtual bool isSharedKey(const std::string & /*key*/) const { return false; }
};

} // namespace boragetrack::control::records
