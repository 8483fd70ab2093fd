/** The platform's key-value service as the system uses it. */
#pragma once

#include "control/store/StoredValue.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <string>

namespace boragetrack::control::store {

/**
    Reads, watches and swaps values of the platform.

    Calls block their thread. Errors: NotFound for an absent key; Aborted when another write came
    first; Unavailable or ResourceExhausted when the call certainly had no effect; Unknown when its
    answer was lost, so that it may have had an effect.
*/
class ConfigStore
{
public:
    virtual ~ConfigStore() = default;

    /** Returns the current value. */
    virtual absl::StatusOr<StoredValue> read(const std::string &key) = 0;

    /** Waits for a value whose version differs from a known one. A store that was restored from
        older data answers at once. @returns DeadlineExceeded when none came in time */
    virtual absl::StatusOr<StoredValue> watch(const std::string &key, StoreVersion known,
                                              std::chrono::milliseconds timeout)
            = 0;

    /** Writes a value if the key still has the expected version; zero means "absent".
        @returns the new version */
    virtual absl::StatusOr<StoreVersion>
    compareAndSwap(const std::string &key, StoreVersion expected, const std::string &value) = 0;
};

} // namespace boragetrack::control::store
