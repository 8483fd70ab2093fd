/** The assignment of idempotency keys to registrars, equal on all nodes with the same members. */
#pragma once

#include "core/identity/IdempotencyKey.h"
#include "traffic/routing/Registrar.h"

#include <vector>

namespace boragetrack::traffic::deduplication {

/** Returns the candidates for storing a key's claim in order of preference: by rendezvous weight,
    the first ones in different data centres, so that the loss of one leaves the others.
    @param maximum the maximum number of candidates */
std::vector<routing::Registrar> chooseRegistrars(const core::identity::IdempotencyKey &key,
                                                 const std::vector<routing::Registrar> &members,
                                                 std::size_t maximum);

} // namespace boragetrack::traffic::deduplication
