/** The position of a request in the order of the queue. */
#pragma once

#include <compare>
#include <cstddef>

namespace boragetrack::traffic::admission {

/** Compares requests by the following criteria, the first one first; lower positions run first. Of
    equal positions, the earlier arrival runs first. */
struct QueuePosition
{
    /** Classes of requests that precede each other regardless of rank. */
    int tier = 0;
    int rank = 0;
    /** Whether the request is not nested. */
    bool isNew = false;
    /** The requests of its organisation that run or wait; zero if there is only one organisation.
     */
    std::size_t organisationRequests = 0;

    friend auto operator<=>(const QueuePosition &, const QueuePosition &) = default;
};

} // namespace boragetrack::traffic::admission
