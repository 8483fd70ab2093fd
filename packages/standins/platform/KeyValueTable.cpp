/** All watches share one condition variable; each write wakes them to compare versions. */
#include "standins/platform/KeyValueTable.h"

namespace boragetrack::standins::platform {

std::optional<KeyValueTable::StoredValue> KeyValueTable::read(const std::string &key) const
{
    const std::lock_guard lock(mutex_);
    return find(key);
}

std::optional<KeyValueTable::StoredValue>
KeyValueTable::watch(const std::string &key, StoreVersion known,
                     std::chrono::milliseconds timeout) const
{
    std::unique_lock lock(mutex_);
    const auto differs = [&] {
        const auto value = find(key);
        return value && value->version != known;
    };
    if (!changed_.wait_for(lock, timeout, differs))
        return std::nullopt;
    return find(key);
}

std::optional<KeyValueTable::StoreVersion> KeyValueTable::compareAndSwap(const std::string &key,
                                                                         StoreVersion expected,
                                                                         const std::string &value)
{
    StoreVersion next{expected.number + 1};
    {
        const std::lock_guard lock(mutex_);
        const auto current = find(key);
        if ((current ? current->version : StoreVersion{}) != expected)
            return std::nullopt;
        values_[key] = StoredValue{next, value};
    }
    changed_.notify_all();
    return next;
}

void KeyValueTable::restore(const std::string &key, const StoredValue &value)
{
    {
        const std::lock_guard lock(mutex_);
        values_[key] = value;
    }
    changed_.notify_all();
}

std::optional<KeyValueTable::StoredValue> KeyValueTable::find(const std::string &key) const
{
    const auto found = values_.find(key);
    return found == values_.end() ? std::nullopt : std::make_optional(found->second);
}

} // namespace boragetrack::standins::platform
