/** Bounds the requests of a connection by their number and their bytes. */
#include "transport/http/PipelineQueue.h"

#include <algorithm>

namespace boragetrack::transport::http {

bool PipelineQueue::mayRead() const
{
    if (last_ || isBodyPending_)
        return false;
    if (requests_.empty())
        return true;
    const Request &latest = requests_.back();
    return latest.isStarted && latest.isConcurrent && requests_.size() < maximumRequests
           && bytesBeyondFirst() < maximumBytes;
}

PipelineQueue::Number PipelineQueue::add(bool isConcurrent, std::optional<std::size_t> bytes)
{
    requests_.push_back(Request{isConcurrent, false, bytes});
    isBodyPending_ = true;
    return numberOfLast();
}

bool PipelineQueue::startNext()
{
    if (requests_.empty() || requests_.back().isStarted)
        return false;
    Request &latest = requests_.back();
    // A body of unknown size may exceed the maximum, so such a request waits like a large one.
    const bool mayRunBeside
            = latest.isConcurrent && latest.requestBytes && bytesBeyondFirst() <= maximumBytes;
    const bool isCancelled = last_ && numberOfLast() > *last_;
    latest.isStarted = !isCancelled && (requests_.size() == 1 || mayRunBeside);
    return latest.isStarted;
}

bool PipelineQueue::holdResponse(Number number, std::size_t bytes)
{
    Request &request = requests_.at(number - firstNumber_);
    request.responseBytes = bytes;
    const bool isNext = hasFirstResponseBegun_ && number == firstNumber_ + 1;
    if (isNext || bytesBeyondFirst() <= maximumBytes)
        return true;
    request.responseBytes = 0;
    closeAfter(number - 1);
    return false;
}

void PipelineQueue::finishFirst()
{
    requests_.pop_front();
    ++firstNumber_;
    hasFirstResponseBegun_ = false;
}

void PipelineQueue::closeAfter(Number number)
{
    last_ = last_ ? std::min(*last_, number) : number;
}

void PipelineQueue::closeAfterStarted()
{
    if (!requests_.empty())
        closeAfter(requests_.back().isStarted ? numberOfLast() : numberOfLast() - 1);
}

bool PipelineQueue::removeCancelled()
{
    if (requests_.empty() || !last_ || numberOfLast() <= *last_)
        return false;
    requests_.pop_back();
    return true;
}

std::size_t PipelineQueue::bytesBeyondFirst() const
{
    std::size_t bytes = 0;
    for (std::size_t i = 1; i < requests_.size(); ++i)
        bytes += requests_[i].requestBytes.value_or(0) + requests_[i].responseBytes;
    return bytes;
}

} // namespace boragetrack::transport::http
