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
                               const AdmissionLimits &limits, std::unique_ptr<QueueOrder> order)
    : policy_(std::move(policy))
    , limits_(limits)
    , selection_(std::move(order))
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
    const WaitingRequest request{arrival, estimate.average(), estimate.assured()};
    offeredLoad_.recordArrival(arrival.rank, request.serviceTime, now);
    organisationDemand_.recordArrival(arrival.organisation, request.serviceTime, now);
    if (waiting_.empty() && hasFreePermit(now)) {
        grantPermit(request, now);
        return AdmissionDecision::Run;
    }
    const MonotonicTime expectedStart = now + expectedWait(arrival, now);
    if (!request.canMeet(arrival.deadline, expectedStart))
        return AdmissionDecision::Refuse;
    const bool isLate = !request.canMeet(arrival.objective, expectedStart);
    if (isLate && hasTooManyLate(now) && !makeRoomFor(request, Shortage::TooManyLate, now))
        return AdmissionDecision::Refuse;
    const bool isFull = waiting_.size() >= static_cast<std::size_t>(limits_.queue);
    if (isFull && !makeRoomFor(request, Shortage::QueueFull, now))
        return AdmissionDecision::Refuse;
    waiting_.push_back(request);
    organisations_.addWaiting(arrival.organisation);
    return AdmissionDecision::Wait;
}

void AdmissionQueue::finishRequest(const AdmissionSample &sample, MonotonicTime now)
{
    releasePermit(sample.organisation);
    policy_->recordRequest(sample, now);
    if (!sample.isOverload)
        serviceTimes_.record(sample.route, sample.latency, now);
}

void AdmissionQueue::releasePermit(const core::identity::OrganisationName &organisation)
{
    assert(!running_.empty());
    running_.erase(running_.begin());
    organisations_.removeRunning(organisation);
}

std::vector<AdmissionQueue::Ticket> AdmissionQueue::takeRunnable(MonotonicTime now)
{
    std::vector<Ticket> tickets;
    while (!waiting_.empty() && hasFreePermit(now)) {
        const auto index = static_cast<std::ptrdiff_t>(selection_.nextToRun(stateAt(now)));
        const auto next = waiting_.begin() + index;
        tickets.push_back(next->arrival.ticket);
        grantPermit(*next, now);
        remove(next);
    }
    return tickets;
}

std::vector<AdmissionQueue::Ticket> AdmissionQueue::takeRefused(MonotonicTime now)
{
    std::vector<Ticket> tickets = std::exchange(displaced_, {});
    for (auto waiting = waiting_.begin(); waiting != waiting_.end();) {
        if (waiting->canMeet(waiting->arrival.deadline, now)) {
            ++waiting;
            continue;
        }
        tickets.push_back(waiting->arrival.ticket);
        waiting = remove(waiting);
    }
    return tickets;
}

void AdmissionQueue::withdraw(Ticket ticket)
{
    const auto found
            = std::find_if(waiting_.begin(), waiting_.end(), [&](const WaitingRequest &waiting) {
                  return waiting.arrival.ticket == ticket;
              });
    if (found != waiting_.end())
        remove(found);
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
    return waitBehind([&](const Arrival &waiting) { return waiting.rank <= rank; },
                      offeredLoad_.loadBelow(rank, now), now);
}

// A request of an organisation within its share waits only for others like it.
std::chrono::nanoseconds AdmissionQueue::expectedWait(const Arrival &arrival, MonotonicTime now)
{
    const QueueSelection::State state = stateAt(now);
    if (!state.isWithinShare(arrival.organisation))
        return expectedWait(arrival.rank, now);
    const auto isAhead
            = [&](const Arrival &waiting) { return state.isWithinShare(waiting.organisation); };
    return waitBehind(isAhead, 0.0, now);
}

// Returns the time until a request gets a permit. @param load the permits that requests which are
// yet to arrive use before it
std::chrono::nanoseconds
AdmissionQueue::waitBehind(const std::function<bool(const Arrival &)> &isAhead, double load,
                           MonotonicTime now)
{
    std::chrono::nanoseconds ahead{0};
    double requests = 1.0;
    for (const WaitingRequest &waiting : waiting_) {
        if (!isAhead(waiting.arrival))
            continue;
        ahead += waiting.serviceTime;
        requests += 1.0;
    }
    const auto paced = pacer_.timeFor(requests, now);
    const int limit = std::max(1, policy_->limit());
    const bool isFree = running_.size() < static_cast<std::size_t>(limit);
    if (ahead.count() == 0 && isFree)
        return paced;
    const double freePermits = std::max(minimumFreePermits, limit - load);
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

bool AdmissionQueue::hasFreePermit(MonotonicTime now)
{
    return running_.size() < static_cast<std::size_t>(std::max(1, policy_->limit()))
           && pacer_.mayAcquire(now);
}

void AdmissionQueue::grantPermit(const WaitingRequest &request, MonotonicTime now)
{
    organisations_.addRunning(request.arrival.organisation);
    pacer_.acquire(now);
    serviceTimes_.recordStart(request.arrival.route, now);
    running_.push_back(Running{now, request.serviceTime});
}

bool AdmissionQueue::hasTooManyLate(MonotonicTime now) const
{
    const auto late
            = std::count_if(waiting_.begin(), waiting_.end(),
                            [&](const WaitingRequest &waiting) { return !waiting.isInTime(now); });
    return static_cast<double>(late) >= latePerPermit * policy_->limit();
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

QueueSelection::State AdmissionQueue::stateAt(MonotonicTime now) const
{
    return {waiting_, organisations_, organisationDemand_,
            organisationDemand_.fairShare(policy_->limit(), now), now};
}

// Returns whether a waiting request was displaced.
bool AdmissionQueue::makeRoomFor(const WaitingRequest &arriving, Shortage shortage,
                                 MonotonicTime now)
{
    const auto displaced = selection_.displacedBy(arriving, stateAt(now), shortage);
    if (!displaced)
        return false;
    const auto waiting = waiting_.begin() + static_cast<std::ptrdiff_t>(*displaced);
    displaced_.push_back(waiting->arrival.ticket);
    remove(waiting);
    return true;
}

AdmissionQueue::WaitingIterator AdmissionQueue::remove(WaitingIterator waiting)
{
    organisations_.removeWaiting(waiting->arrival.organisation);
    return waiting_.erase(waiting);
}

} // namespace boragetrack::traffic::admission
