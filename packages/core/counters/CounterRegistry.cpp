/** Creates counters on first use; a map keeps them ordered by name and their addresses stable. */
#include "core/counters/CounterRegistry.h"

namespace boragetrack::core::counters {

Counter &CounterRegistry::counter(const std::string &name)
{
    const std::lock_guard lock(mutex_);
    std::unique_ptr<Counter> &entry = counters_[name];
    if (!entry)
        entry = std::make_unique<Counter>();
    return *entry;
}

std::string CounterRegistry::toText() const
{
    const std::lock_guard lock(mutex_);
    std::string text;
    for (const auto &[name, counter] : counters_)
        text += name + " " + std::to_string(counter->value()) + "\n";
    return text;
}

std::string CounterRegistry::toLine() const
{
    const std::lock_guard lock(mutex_);
    std::string line;
    for (const auto &[name, counter] : counters_) {
        if (counter->value() > 0)
            line += (line.empty() ? "" : " ") + name + "=" + std::to_string(counter->value());
    }
    return line;
}

} // namespace boragetrack::core::counters
