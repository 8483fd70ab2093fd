/** Queries members with a pool of threads that take the next member from a shared index. */
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

NetworkAddress operatorAddressOf(const json &member)
{
    return {member["operators"]["host"], member["operators"]["port"].get<std::uint16_t>()};
}
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
    const auto members = fetchActiveMembers();
    if (!members.ok())
        return members.status();
    std::vector<NodeReport> reports(members->size());
    forEachConcurrently(members->size(), [&](std::size_t i) {
        reports[i] = fetchReport((*members)[i], revision, timeout);
    });
    return reports;
}

absl::StatusOr<std::vector<json>> FleetClient::fetchUsage()
{
    const auto members = fetchActiveMembers();
    if (!members.ok())
        return members.status();
    std::vector<json> responses(members->size());
    forEachConcurrently(members->size(), [&](std::size_t i) {
        const auto response = query(operatorAddressOf((*members)[i]), "/v1/usage", responseTimeout);
        if (response.ok())
            responses[i] = *response;
    });
    std::erase_if(responses, [](const json &response) { return !response.is_object(); });
    return responses;
}

absl::StatusOr<std::vector<json>> FleetClient::fetchActiveMembers()
{
    const auto members = fetchMembers();
    if (!members.ok())
        return members.status();
    std::vector<json> activeMembers;
    for (const json &member : *members) {
        const std::string state = member["state"];
        if (state == "alive" || state == "suspect")
            activeMembers.push_back(member);
    }
    return activeMembers;
}

void FleetClient::forEachConcurrently(std::size_t count,
                                      const std::function<void(std::size_t)> &function)
{
    std::atomic<std::size_t> next{0};
    const auto worker = [&]() {
        for (std::size_t i = next++; i < count; i = next++)
            function(i);
    };
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < std::min(maximumConcurrentRequests, count); ++i)
        threads.emplace_back(worker);
    for (std::thread &thread : threads)
        thread.join();
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
    absl::Status lastError = absl::UnavailableError("the settings contain no node");
    for (const NetworkAddress &node : settings_.nodes) {
        const auto response = query(node, target, responseTimeout);
        if (response.ok())
            return response;
        lastError = response.status();
    }
    return lastError;
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
        return absl::UnknownError("node " + node.toString() + " responded with status "
                                  + std::to_string(response->status));
    const json body = json::parse(response->body, nullptr, false);
    if (body.is_discarded())
        return absl::UnknownError("node " + node.toString() + " sent a response that is not JSON");
    return body;
}

NodeReport FleetClient::fetchReport(const json &member, Revision revision,
                                    std::chrono::milliseconds timeout)
{
    NodeReport report{member["node"], member["dataCentre"], false, {}, {}};
    std::string target = "/v1/status";
    if (revision != Revision{})
        target += "?revision=" + std::to_string(revision.number())
                  + "&timeoutMs=" + std::to_string(timeout.count());
    const auto status = query(operatorAddressOf(member), target, timeout + responseTimeout);
    if (!status.ok() || !status->is_object())
        return report;
    report.isReached = true;
    report.revision = Revision(status->value("revision", std::uint64_t{0}));
    report.status = *status;
    return report;
}

} // namespace boragetrack::operators::fleet
