/** The named counters of one process. */
#pragma once

#include "core/counters/Counter.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace boragetrack::core::counters {

/** Creates counters by name and formats them for metrics and logs. Thread-safe. */
class CounterRegistry
{
public:
    /** Returns the counter with a name and creates it on first use; it lives as long as the
        registry. */
    Counter &counter(const std::string &name);

    /** Returns one line "name value" per counter, ordered by name. */
    std::string toText() const;

    /** Returns one line "name=value name=value ..." of the counters above zero, ordered by name. */
    std::string toLine() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::unique_ptr<Counter>> counters_;
};

} // namespace boragetrack::core::counters
