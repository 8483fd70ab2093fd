/** Rendezvous hashing over all members; the best member of each data centre precedes the others. */
#include "traffic/deduplication/RegistrarChoice.h"

#include "core/hashing/StableHash.h"

#include <algorithm>
#include <map>
#include <set>

namespace boragetrack::traffic::deduplication {

using core::identity::DataCentreId;
using routing::Registrar;

namespace {

struct Weighted
{
    std::uint64_t weight;
    const Registrar *registrar;
};

} // namespace

std::vector<Registrar> chooseRegistrars(const core::identity::IdempotencyKey &key,
                                        const std::vector<Registrar> &members, std::size_t maximum)
{
    std::vector<Weighted> order;
    order.reserve(members.size());
    for (const Registrar &member : members)
        order.push_back(
                {core::hashing::rendezvousWeight(key.value(), member.node.value()), &member});
    std::sort(order.begin(), order.end(),
              [](const Weighted &a, const Weighted &b) { return a.weight > b.weight; });
    std::vector<Registrar> chosen;
    std::vector<Registrar> others;
    std::set<DataCentreId> used;
    for (const Weighted &entry : order) {
        const bool isNewDataCentre = used.insert(entry.registrar->dataCentre).second;
        auto &list = isNewDataCentre ? chosen : others;
        if (list.size() < maximum)
            list.push_back(*entry.registrar);
        if (chosen.size() == maximum)
            break;
    }
    for (std::size_t i = 0; i < others.size() && chosen.size() < maximum; ++i)
        chosen.push_back(others[i]);
    return chosen;
}

} // namespace boragetrack::traffic::deduplication
