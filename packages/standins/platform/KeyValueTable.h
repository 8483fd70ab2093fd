/** Storage of the platform stand-in. */
#pragma once

#include "control/store/StoredValue.h"

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace boragetrack::standins::platform {

/** In-memory key-value store with versions, compare-and-swap and blocking watches. Thread-safe. */
class KeyValueTable
{
public:
    using StoredValue = control::store::StoredValue;
    using StoreVersion = control::store::StoreVersion;

    /** Returns the current value, or nothing if the key does not exist. */
    std::optional<StoredValue> read(const std::string &key) const;

    /** Blocks until the key exists with a version other than the known one.
        @returns the value, or nothing after the timeout */
    std::optional<StoredValue> watch(const std::string &key, StoreVersion known,
                                     std::chrono::milliseconds timeout) const;

    /** Writes a value if the key has the expected version; version zero means that the key does not
        exist. @returns the new version, or nothing if the version differs */
    std::optional<StoreVersion> compareAndSwap(const std::string &key, StoreVersion expected,
                                               const std::string &value);

    /** Writes a value with its own version, which may be lower than the current one; simulates a
        store that is restored from older data. */
    void restore(const std::string &key, const StoredValue &value);

private:
    // Requires mutex_.
    std::optional<StoredValue> find(const std::string &key) const;

    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    std::map<std::string, StoredValue> values_;
};

} // namespace boragetrack::standins::platform
