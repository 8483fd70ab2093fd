/** The interface that builds an intent from the records of the store. */
#pragma once

#include "control/intent/IntentDocument.h"
#include "control/records/RecordTable.h"
#include "core/findings/FindingList.h"

namespace boragetrack::control::records {

/** Translates records to a document. For a record that cannot be read, or whose content is older
   than that of an earlier revision, the earlier content is used; the others take effect. */
class RecordReader
{
public:
    virtual ~RecordReader() = default;

    /** Returns the document.
        @param findings receives one finding for each record that is not used */
    virtual intent::IntentDocument read(const RecordTable &records,
                                        core::findings::FindingList &findings)
            = 0;

    /** Uses a record that another node holds, if its content is newer than the used content of its
        key. Its revision doesn't matter: the store may hold older content under a later one.
        @returns whether the document changes */
    virtual bool adopt(const StoreRecord & /*record*/) { return false; }

    /** Returns the used records of which the store holds a later revision that is not used. A node
        that has just started can get them from peers only. */
    virtual std::vector<StoreRecord> retained() const { return {}; }

    /** Returns whether the records required to serve callers are present. */
    virtual bool isComplete(const RecordTable &records) const = 0;

    /** Returns whether a key belongs to the intent. */
    virtual bool isIntentKey(const std::string &key) const = 0;

    /** Returns whether every node keeps the record of a key and sends it to peers, though it does
        not belong to the intent. */
    virtual bool isSharedKey(const std::string & /*key*/) const { return false; }
};

} // namespace boragetrack::control::records
