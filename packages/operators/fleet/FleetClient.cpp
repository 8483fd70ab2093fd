/** Implements FleetClient. */
#include "operators/fleet/FleetClient.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace boragetrack::operators::fleet {

using core::identity::NetworkAddress;
using core::identity::Revision;
using nlohmann::json;

namespace {
constexpr std::chrono::milliseconds responseTimeout{2000};
} // namespace

absl::StatusOr<json> FleetClient::fetchMembers()
{
    return queryAny("/v1/members");
}

absl::StatusOr<json> FleetClient::fetchMoves()
{
    return queryAny("/v1/moves");
}

absl::StatusOr<std::vector<NodeReport>> FleetClient::fetchReports(Revision revision,
                                                                  std::chrono::milliseconds timeout)
{
    const auto known = fetchMembers();
    if (!known.ok())
        return known.status();
    std::vector<json> present;
    for (const json &member : *known) {
        const std::string state = member["state"];
        if (state == "alive" || state == "suspect")
            present.push_back(member);
    }
    std::vector<NodeReport> reports(present.size());
    std::atomic<std::size_t> next{0};
    const auto work = [&]() {
        for (std::size_t i = next++; i < present.size(); i = next++)
            reports[i] = fetchReport(present[i], revision, timeout);
    };
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < std::min(maximumConcurrentRequests, present.size()); ++i)
        threads.emplace_back(work);
    for (std::thread &thread : threads)
        thread.join();
    return reports;
}

Revision FleetClient::highestRevision()
{
    Revision highest;
    for (const NetworkAddress &node : settings_.nodes) {
        const auto status = query(node, "/v1/status", responseTimeout);
        if (status.ok() && status->is_object())
            highest = std::max(highest, Revision(status->value("revision", std::uint64_t{0})));
    }
    return highest;
}

absl::StatusOr<json> FleetClient::queryAny(const std::string &target)
{
    absl::Status last = absl::UnavailableError("no node is set");
    for (const NetworkAddress &node : settings_.nodes) {
        const auto answer = query(node, target, responseTimeout);
        if (answer.ok())
            return answer;
        last = answer.status();
    }
    return last;
}

absl::StatusOr<json> FleetClient::query(const NetworkAddress &node, const std::string &target,
                                        std::chrono::milliseconds timeout)
{
    const transport::http::HttpRequest request{
            "GET", target, {{"Authorization", "Bearer " + settings_.operatorToken}}, {}};
    const auto response = client_.send(node, request, timeout);
    if (!response.ok())
        return response.status();
    if (response->status != 200)
        return absl::UnknownError("node " + node.toString() + " answered "
                                  + std::to_string(response->status));
    const json body = json::parse(response->body, nullptr, false);
    if (body.is_discarded())
        return absl::UnknownError("node " + node.toString() + " sent no JSON");
    return body;
}

NodeReport FleetClient::fetchReport(const json &member, Revision revision,
                                    std::chrono::milliseconds timeout)
{
    NodeReport report{member["node"], member["dataCentre"], false, {}, {}};
    const NetworkAddress address{member["operators"]["host"],
                                 member["operators"]["port"].get<std::uint16_t>()};
    std::string target = "/v1/status";
    if (revision != Revision{})
        target += "?revision=" + std::to_string(revision.number())
                  + "&timeoutMs=" + std::to_string(timeout.count());
    const auto status = query(address, target, timeout + responseTimeout);
    if (!status.ok() || !status->is_object())
        return report;
    report.isReached = true;
    report.revision = Revision(status->value("revision", std::uint64_t{0}));
    report.status = *status;
    return report;
}

} // namespace boragetrack::operators::fleet
