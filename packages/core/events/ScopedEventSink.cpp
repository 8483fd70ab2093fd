/** Keeps the current sink of each thread; redirections of one thread may be nested. */
#include "core/events/ScopedEventSink.h"

#include <utility>

namespace boragetrack::core::events {

namespace {
thread_local EventSink *currentSink = nullptr;
} // namespace

ScopedEventSink::ScopedEventSink(EventSink &sink)
    : previous_(std::exchange(currentSink, &sink))
{}

ScopedEventSink::~ScopedEventSink()
{
    currentSink = previous_;
}

EventSink *ScopedEventSink::current()
{
    return currentSink;
}

} // namespace boragetrack::core::events
