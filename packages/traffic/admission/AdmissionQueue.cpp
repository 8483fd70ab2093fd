/** Admission by estimated start times: service times of waiting and running requests, the offered
    load of lower ranks and the pacing of a cold upstream add up to the expected wait. */
#include "traffic/admission/AdmissionQueue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace boragetrack::traffic::admission {

using core::timing::MonotonicTime;

namespace {

// A running request counts with at least this fraction of its expected service time, also after it
// has exceeded it.
constexpr int residualDivisor = 4;
// The lower bound of the permits that lower ranks leave to a request, since the estimate of the
// offered load lags.
constexpr double minimumFreePermits = 0.5;
// How often the queue is checked for requests that can no longer meet their deadline.
constexpr std::chrono::milliseconds checkInterval{20};
// Waiting requests per permit that can meet their deadline but not their objective. They use
// capacity that is left over; beyond this number a refusal with a retry time serves the caller
// better. With one per permit, refused calls move from one inbound proxy to the next, and under
// heavy load the responses are worth 5 in 100 less in total.
constexpr double latePerPermit = 4.0;

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

void AdmissionQueue::handleUpstreamStart()
{
    policy_->handleUpstreamStart();
    serviceTimes_.clear();
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
    const ServiceTimeEstimate estimate = serviceTimes_.estimate(arrival.route, now);
    const Waiting waiting{arrival, estimate.average(), estimate.assured()};
    offeredLoad_.recordArrival(arrival.rank, waiting.serviceTime, now);
    if (waiting_.empty() && hasFreePermit(now)) {
        grantPermit(waiting, now);
        return AdmissionDecision::Run;
    }
    const MonotonicTime expectedStart = now + expectedWait(arrival.rank, now);
    if (!canMeet(waiting, arrival.deadline, expectedStart))
        return AdmissionDecision::Refuse;
    const bool isLate = !canMeet(waiting, arrival.objective, expectedStart);
    if (isLate && static_cast<double>(countLate(now)) >= latePerPermit * policy_->limit())
        return AdmissionDecision::Refuse;
    if (!makeRoomFor(waiting, now))
        return AdmissionDecision::Refuse;
    waiting_.push_back(waiting);
    return AdmissionDecision::Wait;
}

void AdmissionQueue::finishRequest(const AdmissionSample &sample, MonotonicTime now)
{
    releasePermit();
    policy_->recordRequest(sample, now);
    if (!sample.isOverload)
        serviceTimes_.record(sample.route, sample.latency, now);
}

void AdmissionQueue::releasePermit()
{
    assert(!running_.empty());
    running_.erase(running_.begin());
}

std::vector<AdmissionQueue::Ticket> AdmissionQueue::takeRunnable(MonotonicTime now)
{
    std::vector<Ticket> tickets;
    while (!waiting_.empty() && hasFreePermit(now)) {
        const auto next = nextToRun(now);
        tickets.push_back(next->arrival.ticket);
        grantPermit(*next, now);
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
        return checkInterval;
    return std::clamp<std::chrono::nanoseconds>(pacer_.timeFor(1.0, now),
                                                std::chrono::milliseconds(1), checkInterval);
}

//==============================================================================
std::chrono::nanoseconds AdmissionQueue::expectedWait(int rank, MonotonicTime now)
{
    std::chrono::nanoseconds ahead{0};
    double requests = 1.0;
    for (const Waiting &waiting : waiting_) {
        if (waiting.arrival.rank > rank)
            continue;
        ahead += waiting.serviceTime;
        requests += 1.0;
    }
    const auto paced = pacer_.timeFor(requests, now);
    const int limit = std::max(1, policy_->limit());
    const bool isFree = running_.size() < static_cast<std::size_t>(limit);
    if (ahead.count() == 0 && isFree)
        return paced;
    const double freePermits
            = std::max(minimumFreePermits, limit - offeredLoad_.loadBelow(rank, now));
    const std::chrono::duration<double> total = ahead + remainingServiceTime(now);
    return std::max(paced,
                    std::chrono::duration_cast<std::chrono::nanoseconds>(total / freePermits));
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
    return start + waiting.assuredTime < end;
}

bool AdmissionQueue::hasFreePermit(MonotonicTime now)
{
    return running_.size() < static_cast<std::size_t>(std::max(1, policy_->limit()))
           && pacer_.mayAcquire(now);
}

void AdmissionQueue::grantPermit(const Waiting &request, MonotonicTime now)
{
    pacer_.acquire(now);
    serviceTimes_.recordStart(request.arrival.route, now);
    running_.push_back(Running{now, request.serviceTime});
}

std::size_t AdmissionQueue::countLate(MonotonicTime now) const
{
    return static_cast<std::size_t>(
            std::count_if(waiting_.begin(), waiting_.end(), [&](const Waiting &waiting) {
                return !canMeet(waiting, waiting.arrival.objective, now);
            }));
}

std::chrono::nanoseconds AdmissionQueue::remainingServiceTime(MonotonicTime now) const
{
    std::chrono::nanoseconds total{0};
    for (const Running &running : running_) {
        const std::chrono::nanoseconds left = running.serviceTime - (now - running.startedAt);
        total += std::max(left, running.serviceTime / residualDivisor);
    }
    return total;
}

bool AdmissionQueue::runsBefore(const Waiting &a, const Waiting &b, MonotonicTime now) const
{
    // The request that makes a nested call keeps its permit until that call ends, late or not.
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
            [&](const Waiting &a, const Waiting &b) { return runsBefore(a, b, now); });
}

// Returns whether the queue has room, after displacing a request for a nested call. Refusing a
// nested call because the queue is full of new requests would waste what its parent already did.
bool AdmissionQueue::makeRoomFor(const Waiting &arriving, MonotonicTime now)
{
    if (waiting_.size() < static_cast<std::size_t>(limits_.queue))
        return true;
    // Other requests displace none: a displaced request would have waited in vain, whereas the
    // arriving one is refused immediately, with a retry time.
    if (arriving.arrival.rank != 0)
        return false;
    // Searches from the back, so that of equals the latest arrival is displaced.
    const auto last = std::max_element(
            waiting_.rbegin(), waiting_.rend(),
            [&](const Waiting &a, const Waiting &b) { return runsBefore(a, b, now); });
    if (last == waiting_.rend() || !runsBefore(arriving, *last, now))
        return false;
    displaced_.push_back(last->arrival.ticket);
    waiting_.erase(std::prev(last.base()));
    return true;
}

} // namespace boragetrack::traffic::admission
