/** The counters of one process. */
#pragma once

#include "core/counters/Counter.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace boragetrack::core::counters {

/** Hands out counters by name and prints them all. */
class CounterRegistry
{
public:
    /** Returns the counter of that name, made on first use; it lives as long as the registry. */
    Counter &counter(const std::string &name);

    /** Returns one line "name value" for each counter, ordered by name. */
    std::string toText() const;

    /** Returns one line "name=value name=value ..." with the counters above zero. */
    std::string toLine() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::unique_ptr<Counter>> counters_;
};

} // namespace boragetrack::core::counters
