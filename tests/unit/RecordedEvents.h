/** A sink that keeps log events for tests. */
#pragma once

#include "core/events/EventSink.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace boragetrack::tests {

/** Keeps the codes and fields of the events that are logged meanwhile. */
class RecordedEvents : public core::events::EventSink
{
public:
    using Fields = std::map<std::string, std::string>;

    void eventLogged(core::events::EventCode code, std::string_view /*message*/,
                     std::initializer_list<core::events::EventField> fields) override
    {
        codes_.push_back(code);
        fields_.emplace_back(fields.begin(), fields.end());
    }

    /** Returns how many events with a code were logged. */
    std::ptrdiff_t count(core::events::EventCode code) const
    {
        return std::count(codes_.begin(), codes_.end(), code);
    }

    /** Returns the fields of the last event with a code; none if there was no such event. */
    Fields last(core::events::EventCode code) const
    {
        const auto found = std::find(codes_.rbegin(), codes_.rend(), code);
        return found == codes_.rend()
                       ? Fields{}
                       : fields_[static_cast<std::size_t>(codes_.rend() - found) - 1];
    }

private:
    std::vector<core::events::EventCode> codes_;
    // Invariant: one element for each code.
    std::vector<Fields> fields_;
};

} // namespace boragetrack::tests
