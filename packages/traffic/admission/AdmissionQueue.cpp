/** Implements AdmissionQueue. */
#include "traffic/admission/AdmissionQueue.h"

#include <algorithm>
#include <cassert>

namespace boragetrack::traffic::admission {

using core::timing::MonotonicTime;

namespace {
constexpr int latencySmoothing = 8;
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

AdmissionDecision AdmissionQueue::arrive(Ticket ticket, MonotonicTime deadline, MonotonicTime now)
{
    if (isDraining_ || deadline <= now)
        return AdmissionDecision::Refuse;
    if (waiting_.empty() && inFlight_ < policy_->limit()) {
        ++inFlight_;
        return AdmissionDecision::Run;
    }
    const bool isFull = waiting_.size() >= static_cast<std::size_t>(limits_.queue);
    if (isFull || !canFinish(deadline, waiting_.size() + 1, now))
        return AdmissionDecision::Refuse;
    waiting_.push_back(Waiting{ticket, deadline});
    return AdmissionDecision::Wait;
}

void AdmissionQueue::ended(const AdmissionSample &sample, MonotonicTime now)
{
    assert(inFlight_ > 0);
    --inFlight_;
    policy_->requestEnded(sample, now);
    if (!sample.isOverload)
        typicalLatency_ += (sample.latency - typicalLatency_) / latencySmoothing;
}

void AdmissionQueue::abandoned()
{
    assert(inFlight_ > 0);
    --inFlight_;
}

std::vector<AdmissionQueue::Ticket> AdmissionQueue::takeRunnable(MonotonicTime /*now*/)
{
    std::vector<Ticket> tickets;
    while (!waiting_.empty() && inFlight_ < policy_->limit()) {
        tickets.push_back(waiting_.front().ticket);
        waiting_.pop_front();
        ++inFlight_;
    }
    return tickets;
}

std::vector<AdmissionQueue::Ticket> AdmissionQueue::takeExpired(MonotonicTime now)
{
    std::vector<Ticket> tickets;
    std::erase_if(waiting_, [&](const Waiting &waiting) {
        const bool isExpired = !canFinish(waiting.deadline, 0, now);
        if (isExpired)
            tickets.push_back(waiting.ticket);
        return isExpired;
    });
    return tickets;
}

void AdmissionQueue::withdraw(Ticket ticket)
{
    std::erase_if(waiting_, [&](const Waiting &waiting) { return waiting.ticket == ticket; });
}

calls::LoadReport AdmissionQueue::load() const
{
    return calls::LoadReport{inFlight_, static_cast<int>(waiting_.size()), policy_->limit()};
}

bool AdmissionQueue::canFinish(MonotonicTime deadline, std::size_t ahead, MonotonicTime now) const
{
    const auto rounds = static_cast<std::int64_t>(ahead) / std::max(1, policy_->limit()) + 1;
    return now + typicalLatency_ * rounds < deadline;
}

} // namespace boragetrack::traffic::admission
