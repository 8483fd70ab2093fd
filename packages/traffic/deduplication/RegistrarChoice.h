/** Chooses the registrars of a key. */
#pragma once

#include "core/identity/IdempotencyKey.h"
#include "traffic/routing/Registrar.h"

#include <vector>

namespace boragetrack::traffic::deduplication {

/** Returns candidates for keeping a key's claim in their order of preference: by rendezvous
    weight, the first ones in different data centres, so that the loss of one leaves the others.
    @param maximum the number of candidates at most */
std::vector<routing::Registrar> chooseRegistrars(const core::identity::IdempotencyKey &key,
                                                 const std::vector<routing::Registrar> &members,
                                                 std::size_t maximum);

} // namespace boragetrack::traffic::deduplication
