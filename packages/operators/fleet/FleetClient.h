/** Client of the nodes' operator interface. */
#pragma once

#include "operators/fleet/NodeReport.h"
#include "operators/settings/OperatorSettings.h"
#include "transport/http/HttpClient.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <functional>
#include <vector>

namespace boragetrack::operators::fleet {

/**
    Obtains the members from one of the configured nodes and queries every member.

    Calls block the calling thread. Errors are those of the last configured node that was tried:
    Unavailable if it cannot be reached, Unknown if its response was lost, has a status other than
    200 or is not JSON.
*/
class FleetClient
{
public:
    /** Maximum number of nodes that are queried concurrently. */
    static constexpr std::size_t maximumConcurrentRequests = 32;

    /** @param settings must outlive this object
        @param client must outlive this object and is called from several threads concurrently */
    FleetClient(const settings::OperatorSettings &settings, transport::http::HttpClient &client)
        : settings_(settings)
        , client_(client)
    {}

    /** Returns the members known to the first configured node that responds. */
    absl::StatusOr<nlohmann::json> fetchMembers();

    /** Returns the moves and their current shares, as known to the first configured node that
        responds. */
    absl::StatusOr<nlohmann::json> fetchMoves();

    /** Queries the usage reports of every member that is alive or suspect.
        @returns the responses of those that responded; none if the settings of the nodes ask for no
        usage reports */
    absl::StatusOr<std::vector<nlohmann::json>> fetchUsage();

    /** Queries the status of every member that is alive or suspect.
        @param revision each node delays its response until this revision is in force there; zero
        for an immediate response
        @param timeout the maximum delay of a response
        @returns one report for each member, also for those that did not respond */
    absl::StatusOr<std::vector<NodeReport>> fetchReports(core::identity::Revision revision,
                                                         std::chrono::milliseconds timeout);

    /** Returns the highest revision in force on the configured nodes; zero if none responds. */
    core::identity::Revision highestRevision();

private:
    absl::StatusOr<nlohmann::json> queryAny(const std::string &target);
    absl::StatusOr<nlohmann::json> query(const core::identity::NetworkAddress &node,
                                         const std::string &target,
                                         std::chrono::milliseconds timeout);
    // Returns the members that are alive or suspect.
    absl::StatusOr<std::vector<nlohmann::json>> fetchActiveMembers();
    // Calls a function with each index below a count, on several threads.
    static void forEachConcurrently(std::size_t count,
                                    const std::function<void(std::size_t)> &function);
    NodeReport fetchReport(const nlohmann::json &member, core::identity::Revision revision,
                           std::chrono::milliseconds timeout);

    const settings::OperatorSettings &settings_;
    transport::http::HttpClient &client_;
};

} // namespace boragetrack::operators::fleet
