/** Implements AdmissionQueue. */
#include "traffic/admission/AdmissionQueue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace boragetrack::traffic::admission {

using core::timing::MonotonicTime;

namespace {

// A request that ran longer than usual still has some way to go: a part of its usual time.
constexpr int residualPart = 4;
// What higher ranks leave to a request is never taken for less than a part of one place: the
// estimate of what arrives lags.
constexpr double leastPlaces = 0.5;
// How often the queue is looked at while requests wait, for those whose time becomes too short.
constexpr std::chrono::milliseconds lookPeriod{20};
// Requests that can only meet their deadline and wait all the same, for each place at the upstream:
// they use what is left over, and further ones are better told to come back. With one for each
// place, calls went from gate to gate and a heavy day of the emulator earned 5 in 100 less.
constexpr double latePerPlace = 4.0;

} // namespace

AdmissionQueue::AdmissionQueue(std::unique_ptr<AdmissionPolicy> policy,
                               const AdmissionLimits &limits)
    : policy_(std::move(policy))
    , limits_(limits)
{}

void AdmissionQueue::setLimits(const AdmissionLimits &limits)
{
    limits_ = limits;
    policy_->setLimits(limits);
}

void AdmissionQueue::upstreamStarted()
{
    policy_->upstreamStarted();
    work_.clear();
}

//==============================================================================
AdmissionDecision AdmissionQueue::arrive(Ticket ticket, MonotonicTime deadline, MonotonicTime now)
{
    return arrive(Arrival{ticket, {}, 1, deadline, deadline}, now);
}

AdmissionDecision AdmissionQueue::arrive(const Arrival &arrival, MonotonicTime now)
{
    if (isDraining_ || arrival.deadline <= now)
        return AdmissionDecision::Refuse;
    const Waiting waiting{arrival, work_.usual(arrival.route)};
    offered_.note(arrival.rank, waiting.work, now);
    if (waiting_.empty() && hasFreePlace(now)) {
        begin(waiting.work, now);
        return AdmissionDecision::Run;
    }
    const MonotonicTime start = now + expectedWait(arrival.rank, now);
    if (!canMeet(waiting, arrival.deadline, start))
        return AdmissionDecision::Refuse;
    const bool isLate = !canMeet(waiting, arrival.objective, start);
    if (isLate && static_cast<double>(countLate(now)) >= latePerPlace * policy_->limit())
        return AdmissionDecision::Refuse;
    if (!makePlaceFor(waiting, now))
        return AdmissionDecision::Refuse;
    waiting_.push_back(waiting);
    return AdmissionDecision::Wait;
}

void AdmissionQueue::finishRequest(const AdmissionSample &sample, MonotonicTime now)
{
    releasePermit();
    policy_->recordRequest(sample, now);
    if (!sample.isOverload)
        work_.note(sample.route, sample.latency);
}

void AdmissionQueue::releasePermit()
{
    assert(!running_.empty());
    running_.erase(running_.begin());
}

std::vector<AdmissionQueue::Ticket> AdmissionQueue::takeRunnable(MonotonicTime now)
{
    std::vector<Ticket> tickets;
    while (!waiting_.empty() && hasFreePlace(now)) {
        const auto next = nextToRun(now);
        tickets.push_back(next->arrival.ticket);
        begin(next->work, now);
        waiting_.erase(next);
    }
    return tickets;
}

std::vector<AdmissionQueue::Ticket> AdmissionQueue::takeRefused(MonotonicTime now)
{
    std::vector<Ticket> tickets = std::exchange(displaced_, {});
    std::erase_if(waiting_, [&](const Waiting &waiting) {
        const bool isExpired = !canMeet(waiting, waiting.arrival.deadline, now);
        if (isExpired)
            tickets.push_back(waiting.arrival.ticket);
        return isExpired;
    });
    return tickets;
}

void AdmissionQueue::withdraw(Ticket ticket)
{
    std::erase_if(waiting_,
                  [&](const Waiting &waiting) { return waiting.arrival.ticket == ticket; });
}

std::optional<std::chrono::nanoseconds> AdmissionQueue::timeUntilNextCheck(MonotonicTime now)
{
    if (waiting_.empty())
        return std::nullopt;
    if (!pacer_.isCold(now))
        return lookPeriod;
    return std::clamp<std::chrono::nanoseconds>(pacer_.timeFor(1.0, now),
                                                std::chrono::milliseconds(1), lookPeriod);
}

//==============================================================================
std::chrono::nanoseconds AdmissionQueue::expectedWait(int rank, MonotonicTime now)
{
    std::chrono::nanoseconds ahead{0};
    double requests = 1.0;
    for (const Waiting &waiting : waiting_) {
        if (waiting.arrival.rank > rank)
            continue;
        ahead += waiting.work;
        requests += 1.0;
    }
    const auto paced = pacer_.timeFor(requests, now);
    const int limit = std::max(1, policy_->limit());
    const bool isFree = running_.size() < static_cast<std::size_t>(limit);
    if (ahead.count() == 0 && isFree)
        return paced;
    const double left = std::max(leastPlaces, limit - offered_.rateBelow(rank, now));
    const std::chrono::duration<double> work = ahead + runningWork(now);
    return std::max(paced, std::chrono::duration_cast<std::chrono::nanoseconds>(work / left));
}

calls::LoadReport AdmissionQueue::load(MonotonicTime now)
{
    calls::LoadReport report;
    report.inFlight = static_cast<int>(running_.size());
    report.queued = static_cast<int>(waiting_.size());
    report.limit = policy_->limit();
    for (std::size_t rank = 0; rank < report.waits.size(); ++rank) {
        report.waits[rank] = std::chrono::duration_cast<std::chrono::microseconds>(
                expectedWait(static_cast<int>(rank), now));
    }
    return report;
}

bool AdmissionQueue::canMeet(const Waiting &waiting, MonotonicTime end, MonotonicTime start) const
{
    return start + waiting.work < end;
}

bool AdmissionQueue::hasFreePlace(MonotonicTime now)
{
    return running_.size() < static_cast<std::size_t>(std::max(1, policy_->limit()))
           && pacer_.mayTake(now);
}

void AdmissionQueue::begin(std::chrono::nanoseconds work, MonotonicTime now)
{
    pacer_.take(now);
    running_.push_back(Running{now, work});
}

std::size_t AdmissionQueue::countLate(MonotonicTime now) const
{
    return static_cast<std::size_t>(
            std::count_if(waiting_.begin(), waiting_.end(), [&](const Waiting &waiting) {
                return !canMeet(waiting, waiting.arrival.objective, now);
            }));
}

std::chrono::nanoseconds AdmissionQueue::runningWork(MonotonicTime now) const
{
    std::chrono::nanoseconds work{0};
    for (const Running &running : running_) {
        const std::chrono::nanoseconds left = running.work - (now - running.begunAt);
        work += std::max(left, running.work / residualPart);
    }
    return work;
}

bool AdmissionQueue::goesBefore(const Waiting &a, const Waiting &b, MonotonicTime now) const
{
    // A running request holds its place until its calls are served, in time or not.
    if ((a.arrival.rank == 0) != (b.arrival.rank == 0))
        return a.arrival.rank == 0;
    const bool isLateA = !canMeet(a, a.arrival.objective, now);
    const bool isLateB = !canMeet(b, b.arrival.objective, now);
    return isLateA != isLateB ? isLateB : a.arrival.rank < b.arrival.rank;
}

std::vector<AdmissionQueue::Waiting>::iterator AdmissionQueue::nextToRun(MonotonicTime now)
{
    return std::min_element(
            waiting_.begin(), waiting_.end(),
            [&](const Waiting &a, const Waiting &b) { return goesBefore(a, b, now); });
}

// A lookup of a running request must not be lost to a queue full of new work, or its parent ran in
// vain.
bool AdmissionQueue::makePlaceFor(const Waiting &arriving, MonotonicTime now)
{
    if (waiting_.size() < static_cast<std::size_t>(limits_.queue))
        return true;
    // New work is told to come back instead: what waits already would have waited in vain.
    if (arriving.arrival.rank != 0)
        return false;
    // Seen from the back, so that the latest goes last among equals.
    const auto last = std::max_element(
            waiting_.rbegin(), waiting_.rend(),
            [&](const Waiting &a, const Waiting &b) { return goesBefore(a, b, now); });
    if (last == waiting_.rend() || !goesBefore(arriving, *last, now))
        return false;
    displaced_.push_back(last->arrival.ticket);
    waiting_.erase(std::prev(last.base()));
    return true;
}

} // namespace boragetrack::traffic::admission
