/** The requests of each organisation at one upstream. */
#pragma once

#include "core/identity/OrganisationName.h"

#include <cstddef>
#include <map>

namespace boragetrack::traffic::admission {

/** Counts the requests that run or wait, by organisation. All requests without an organisation
   count as those of one. */
class OrganisationLoad
{
public:
    using Name = core::identity::OrganisationName;

    void addWaiting(const Name &name) { ++counts_[name].waiting; }
    void removeWaiting(const Name &name);
    void addRunning(const Name &name) { ++counts_[name].running; }
    void removeRunning(const Name &name);

    /** Returns the requests of an organisation that run or wait. */
    std::size_t requests(const Name &name) const;

    /** Returns the highest number of requests of an organisation that has a waiting one. */
    std::size_t highestWithWaiting() const;

    /** Returns whether requests of several organisations run or wait. */
    bool isShared() const { return counts_.size() > 1; }

private:
    struct Counts
    {
        std::size_t running = 0;
        std::size_t waiting = 0;
    };

    void eraseIfIdle(const Name &name);

    // Invariant: only organisations with requests.
    std::map<Name, Counts> counts_;
};

} // namespace boragetrack::traffic::admission
