/** Interface to the platform's key-value service. */
#pragma once

#include "control/store/StoredValue.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <string>

namespace boragetrack::control::store {

/**
    Reads, watches and writes values in the platform.

    Calls block the calling thread. Errors: NotFound if the key does not exist; Aborted if the
    version has changed; InvalidArgument if the value is too large; Unavailable or ResourceExhausted
    if the call certainly had no effect; Unknown if the response was lost, so that the call may have
    taken effect.
*/
class ConfigStore
{
public:
    virtual ~ConfigStore() = default;

    /** Returns the current value. */
    virtual absl::StatusOr<StoredValue> read(const std::string &key) = 0;

    /** Waits until the version of a value differs from a known one. After the store was restored
        from older data, it returns immediately. @returns the value, or DeadlineExceeded when the
        timeout has passed */
    virtual absl::StatusOr<StoredValue> watch(const std::string &key, StoreVersion known,
                                              std::chrono::milliseconds timeout)
            = 0;

    /** Writes a value if the key still has the expected version; version zero means that the key
        does not exist. @returns the new version */
    virtual absl::StatusOr<StoreVersion>
    compareAndSwap(const std::string &key, StoreVersion expected, const std::string &value) = 0;
};

} // namespace boragetrack::control::store
