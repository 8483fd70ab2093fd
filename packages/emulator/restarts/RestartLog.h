/** The log events of simulated nodes. */
#pragma once

#include "core/events/EventSink.h"
#include "emulator/clock/EventClock.h"

#include <string>
#include <vector>

namespace boragetrack::emulator::restarts {

/** Collects the events of all nodes with the simulated time. */
class RestartLog : public core::events::EventSink
{
public:
    /** @param clock must outlive this object
        @param isKept whether lines are collected; formatting them takes most of a simulation's time
     */
    RestartLog(const clock::EventClock &clock, bool isKept)
        : clock_(clock)
        , isKept_(isKept)
    {}

    /** Sets the node whose decisions run from now on. */
    void setNode(std::size_t node) { node_ = node; }

    /** Returns whether lines are collected. */
    bool isKept() const { return isKept_; }

    /** Adds a line about the node. */
    void add(const std::string &line);

    void eventLogged(core::events::EventCode code, std::string_view message,
                     std::initializer_list<core::events::EventField> fields) override;

    /** Returns the lines. */
    const std::vector<std::string> &lines() const { return lines_; }

private:
    const clock::EventClock &clock_;
    const bool isKept_;
    std::size_t node_ = 0;
    std::vector<std::string> lines_;
};

} // namespace boragetrack::emulator::restarts
