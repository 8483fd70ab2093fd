/** Computes each weight once; equal weights are ordered by name. */
#include "control/usage/ElectionOrder.h"

#include "core/hashing/StableHash.h"

#include <algorithm>
#include <utility>

namespace boragetrack::control::usage {

std::vector<DutyHolder> electionOrder(std::string_view duty, std::vector<DutyHolder> members)
{
    std::vector<std::pair<std::uint64_t, DutyHolder>> weighted;
    weighted.reserve(members.size());
    for (DutyHolder &member : members) {
        const std::uint64_t weight = core::hashing::rendezvousWeight(duty, member.node.value());
        weighted.emplace_back(weight, std::move(member));
    }
    std::sort(weighted.begin(), weighted.end(), [](const auto &a, const auto &b) {
        return a.first != b.first ? a.first > b.first : a.second.node < b.second.node;
    });
    std::vector<DutyHolder> order;
    order.reserve(weighted.size());
    for (auto &[weight, member] : weighted)
        order.push_back(std::move(member));
    return order;
}

} // namespace boragetrack::control::usage
