/** Asks the nodes. */
#pragma once

#include "operators/fleet/NodeReport.h"
#include "operators/settings/OperatorSettings.h"
#include "transport/http/HttpClient.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <vector>

namespace boragetrack::operators::fleet {

/** Learns the members from one node and asks all of them. */
class FleetClient
{
public:
    /** Nodes asked at once. */
    static constexpr std::size_t maximumConcurrentRequests = 32;

    /** @param settings and @param client outlive this object */
    FleetClient(const settings::OperatorSettings &settings, transport::http::HttpClient &client)
        : settings_(settings)
        , client_(client)
    {}

    /** Returns the members as the first reachable node of the settings knows them. */
    absl::StatusOr<nlohmann::json> fetchMembers();

    /** Returns the moves with their present shares as one node sees them. */
    absl::StatusOr<nlohmann::json> fetchMoves();

    /** Returns every member's report, after waiting up to the timeout until a revision is in force
        there. @param revision zero to wait for none */
    absl::StatusOr<std::vector<NodeReport>> fetchReports(core::identity::Revision revision,
                                                         std::chrono::milliseconds timeout);

    /** Returns the highest revision that any reachable node serves; zero when none is reached. */
    core::identity::Revision highestRevision();

private:
    absl::StatusOr<nlohmann::json> queryAny(const std::string &target);
    absl::StatusOr<nlohmann::json> query(const core::identity::NetworkAddress &node,
                                         const std::string &target,
                                         std::chrono::milliseconds timeout);
    NodeReport fetchReport(const nlohmann::json &member, core::identity::Revision revision,
                           std::chrono::milliseconds timeout);

    const settings::OperatorSettings &settings_;
    transport::http::HttpClient &client_;
};

} // namespace boragetrack::operators::fleet
