/** The platform stand-in's data. */
#pragma once

#include "control/store/StoredValue.h"

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace boragetrack::standins::platform {

/** Keeps versioned values with compare-and-swap and watches. */
class KeyValueTable
{
public:
    using StoredValue = control::store::StoredValue;
    using StoreVersion = control::store::StoreVersion;

    /** Returns a value, or nothing for an absent key. */
    std::optional<StoredValue> read(const std::string &key) const;

    /** Waits until a key's version differs from the known one or the time is over. */
    std::optional<StoredValue> watch(const std::string &key, StoreVersion known,
                                     std::chrono::milliseconds timeout) const;

    /** Writes a value if the version is as expected. @returns the new version, or nothing */
    std::optional<StoreVersion> compareAndSwap(const std::string &key, StoreVersion expected,
                                               const std::string &value);

    /** Puts a value back under a lower version, as a store restored from older data does. */
    void restore(const std::string &key, const StoredValue &value);

private:
    std::optional<StoredValue> find(const std::string &key) const;

    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    std::map<std::string, StoredValue> values_;
};

} // namespace boragetrack::standins::platform
