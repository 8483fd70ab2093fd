/** The decision on one claim of an idempotency key. */
#pragma once

#include "core/identity/NodeId.h"

#include <cstddef>

namespace boragetrack::traffic::deduplication {

/** Counts the registrars' responses to a claim. The claim needs two grants (or all, with fewer than
    two registrars), and fails when any registrar names another holder. */
class ClaimQuorum
{
public:
    /** The number of registrars of each key. */
    static constexpr std::size_t registrarCount = 3;
    static constexpr std::size_t grantsNeeded = 2;

    /** @param claimant the process id of the claiming node (see Registrar)
        @param registrars the number of registrars it asks */
    ClaimQuorum(core::identity::NodeId claimant, std::size_t registrars)
        : claimant_(std::move(claimant))
        , registrars_(registrars)
    {}

    /** Records the holder that a registrar named; an empty holder denies the claim without naming
        another node. */
    void recordResponse(const core::identity::NodeId &holder)
    {
        if (holder == claimant_)
            ++grants_;
        else if (!holder.isEmpty())
            conflictingHolder_ = holder;
    }

    /** Returns the other node that holds the claim; empty when no registrar named one. */
    const core::identity::NodeId &conflictingHolder() const { return conflictingHolder_; }

    /** Returns whether the claimant may run the request. */
    bool isGranted() const
    {
        const std::size_t needed = registrars_ < grantsNeeded ? registrars_ : grantsNeeded;
        return conflictingHolder_.isEmpty() && grants_ >= needed;
    }

private:
    core::identity::NodeId claimant_;
    std::size_t registrars_;
    std::size_t grants_ = 0;
    core::identity::NodeId conflictingHolder_;
};

} // namespace boragetrack::traffic::deduplication
