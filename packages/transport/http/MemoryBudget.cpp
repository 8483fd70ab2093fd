/** Selects the connections that are closed for lack of memory. */
#include "transport/http/MemoryBudget.h"

#include "core/events/EventLog.h"

#include <chrono>

namespace boragetrack::transport::http {

using core::events::EventCode;

namespace {

bool isIdle(const SlowReader &reader, core::timing::MonotonicTime now)
{
    return now - reader.lastProgress() >= MemoryBudget::minimumIdleTime;
}

} // namespace

bool MemoryBudget::add(std::size_t bytes, RoomUse use)
{
    const bool closesActive = use == RoomUse::SmallBody || use == RoomUse::LateResponse;
    const std::size_t needed = bytes + (use == RoomUse::LargeBody ? awaited_ : 0);
    if (!canMakeRoom(needed, closesActive) || !makeRoom(needed, closesActive))
        return false;
    used_ += bytes;
    return true;
}

void MemoryBudget::recordRefusal(std::size_t bytes)
{
    refusals_.add();
    core::events::logCall(EventCode::MemoryBudgetExhausted, "no memory for a body", false,
                          {{"bytes", std::to_string(bytes)}, {"used", std::to_string(used_)}});
}

void MemoryBudget::addPresent(std::size_t bytes)
{
    used_ += bytes;
    makeRoom(0, true);
}

void MemoryBudget::remove(std::size_t bytes)
{
    used_ -= bytes;
    // Whoever finds no room and releases nothing must not wake the others.
    if (bytes > 0)
        released_.release();
}

// A reader that holds no bytes has no holding, so that an empty response must not make one.
void MemoryBudget::hold(SlowReader &reader, std::size_t bytes)
{
    if (bytes == 0)
        return;
    Holding &holding = holdings_[&reader];
    holding.bytes += bytes;
    used_ += bytes;
    if (holding.isCutOff)
        leaving_ += bytes;
    makeRoom(0, true);
}

void MemoryBudget::release(SlowReader &reader, std::size_t bytes)
{
    if (bytes == 0)
        return;
    const auto found = holdings_.find(&reader);
    found->second.bytes -= bytes;
    used_ -= bytes;
    if (found->second.isCutOff)
        leaving_ -= bytes;
    if (found->second.bytes == 0)
        holdings_.erase(found);
    released_.release();
}

// Clients must not lose responses for a body that is refused all the same.
bool MemoryBudget::canMakeRoom(std::size_t bytes, bool closesActive) const
{
    const auto now = std::chrono::steady_clock::now();
    std::size_t releasable = leaving_;
    for (const auto &[reader, holding] : holdings_) {
        if (!holding.isCutOff && (closesActive || isIdle(*reader, now)))
            releasable += holding.bytes;
    }
    return bytes <= maximum_ && used_ - releasable <= maximum_ - bytes;
}

// What the connections that are cut off hold counts as released: they end before the next input is
// read.
bool MemoryBudget::makeRoom(std::size_t bytes, bool closesActive)
{
    if (bytes > maximum_)
        return false;
    while (used_ - leaving_ > maximum_ - bytes) {
        if (!cutOffSlowest(closesActive))
            return false;
    }
    return true;
}

bool MemoryBudget::cutOffSlowest(bool closesActive)
{
    SlowReader *slowest = nullptr;
    for (const auto &[reader, holding] : holdings_) {
        if (!holding.isCutOff
            && (slowest == nullptr || reader->lastProgress() < slowest->lastProgress()))
            slowest = reader;
    }
    const auto now = std::chrono::steady_clock::now();
    if (slowest == nullptr || (!closesActive && !isIdle(*slowest, now)))
        return false;
    Holding &holding = holdings_.at(slowest);
    holding.isCutOff = true;
    leaving_ += holding.bytes;
    closedReaders_.add();
    const auto idle = now - slowest->lastProgress();
    core::events::logCall(
            EventCode::SlowReaderClosed, "slow reader closed", false,
            {{"bytes", std::to_string(holding.bytes)},
             {"idleMs",
              std::to_string(
                      std::chrono::duration_cast<std::chrono::milliseconds>(idle).count())}});
    slowest->cutOff();
    return true;
}

} // namespace boragetrack::transport::http
