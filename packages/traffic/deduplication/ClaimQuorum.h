/** The answers to one node's claim. */
#pragma once

#include "core/identity/NodeId.h"

#include <cstddef>

namespace boragetrack::traffic::deduplication {

/** Counts registrars' answers to a claim: any other holder's name is a veto, and two grants (or
    all, of fewer registrars) are needed. */
class ClaimQuorum
{
public:
    /** Registrars asked for each key. */
    static constexpr std::size_t registrarCount = 3;
    static constexpr std::size_t grantsNeeded = 2;

    /** @param claimant the node that claims @param registrars the number asked */
    ClaimQuorum(core::identity::NodeId claimant, std::size_t registrars)
        : claimant_(std::move(claimant))
        , registrars_(registrars)
    {}

    /** Takes the holder that a registrar named; an empty one denies without naming another. */
    void recordResponse(const core::identity::NodeId &holder)
    {
        if (holder == claimant_)
            ++grants_;
        else if (!holder.isEmpty())
            vetoHolder_ = holder;
    }

    /** Returns the node that holds the claim instead; empty when no registrar named one. */
    const core::identity::NodeId &conflictingHolder() const { return vetoHolder_; }

    /** Returns whether the claimant may run the request. */
    bool isGranted() const
    {
        const std::size_t needed = registrars_ < grantsNeeded ? registrars_ : grantsNeeded;
        return vetoHolder_.isEmpty() && grants_ >= needed;
    }

private:
    core::identity::NodeId claimant_;
    std::size_t registrars_;
    std::size_t grants_ = 0;
    core::identity::NodeId vetoHolder_;
};

} // namespace boragetrack::traffic::deduplication
