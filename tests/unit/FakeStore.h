/** A fake of the platform's store for tests of the intent editor. */
#pragma once

#include "control/store/ConfigStore.h"

#include <deque>
#include <functional>
#include <map>

namespace boragetrack::tests {

/** Keeps values in memory and fails calls as configured. */
class FakeStore : public control::store::ConfigStore
{
public:
    /** The fault of one write of the intent: the store refuses it, or the response is lost after or
        before the write takes effect. */
    enum class WriteFault { None, RefusedBefore, LostAfter, LostBefore };

    absl::StatusOr<control::store::StoredValue> read(const std::string &key) override
    {
        if (isUnavailable)
            return absl::UnavailableError("out");
        const auto found = values.find(key);
        if (found == values.end())
            return absl::NotFoundError("absent");
        return found->second;
    }

    absl::StatusOr<control::store::StoredValue>
    watch(const std::string &key, control::store::StoreVersion /*known*/,
          std::chrono::milliseconds /*timeout*/) override
    {
        return read(key);
    }

    absl::StatusOr<control::store::StoreVersion>
    compareAndSwap(const std::string &key, control::store::StoreVersion expected,
                   const std::string &value) override
    {
        if (isUnavailable)
            return absl::UnavailableError("out");
        if (beforeWrite)
            std::exchange(beforeWrite, nullptr)();
        WriteFault fault = WriteFault::None;
        if (key == "boragetrack/intent" && !writeFaults.empty()) {
            fault = writeFaults.front();
            writeFaults.pop_front();
        }
        if (fault == WriteFault::RefusedBefore)
            return absl::UnavailableError("refused");
        if (fault == WriteFault::LostBefore)
            return absl::UnknownError("lost");
        control::store::StoredValue &held = values[key];
        if (held.version != expected)
            return absl::AbortedError("conflict");
        held = {control::store::StoreVersion{expected.number + 1}, value};
        if (fault == WriteFault::LostAfter)
            return absl::UnknownError("lost");
        return held.version;
    }

    std::map<std::string, control::store::StoredValue> values;
    /** The faults of the next writes of the intent, in order. */
    std::deque<WriteFault> writeFaults;
    bool isUnavailable = false;
    /** Runs once before the next write, to simulate another operator. */
    std::function<void()> beforeWrite;
};

} // namespace boragetrack::tests
