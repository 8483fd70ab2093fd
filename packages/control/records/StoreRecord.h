/** One entry of the platform's store. */
#pragma once

#include "core/identity/Revision.h"

#include <string>

namespace boragetrack::control::records {

/** Holds the last change of a key: its value, or that it was removed. */
struct StoreRecord
{
    std::string key;
    /** The store's revision of the change. */
    core::identity::Revision revision;
    std::string text;
    bool isRemoved = false;
};

} // namespace boragetrack::control::records
