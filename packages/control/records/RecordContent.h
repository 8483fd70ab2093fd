/** The interface to the content of a leased record. */
#pragma once

#include <string>

namespace boragetrack::control::records {

/** Supplies the text of a record and compares it with what the store holds. */
class RecordContent
{
public:
    virtual ~RecordContent() = default;

    /** Returns the text to write. */
    virtual std::string text() const = 0;

    /** Returns whether a text in the store may stay as it is. */
    virtual bool isCurrent(const std::string &stored) const = 0;
};

} // namespace boragetrack::control::records
