/** Dispatches requests by path. Status, members, moves and usage reports require the operator
   token; health, metrics and announcements do not. */
#include "daemon/frontends/OperatorHandler.h"

#include "daemon/frontends/AnnouncementReader.h"

#include <algorithm>
#include <cstdlib>

namespace boragetrack::daemon::frontends {

using transport::http::HttpRequest;
using transport::http::HttpResponse;

namespace {

constexpr std::chrono::milliseconds maximumStatusWait{30'000};

HttpResponse jsonResponse(const nlohmann::json &body)
{
    return HttpResponse{200, {{"Content-Type", "application/json"}}, body.dump() + "\n"};
}

} // namespace

HttpResponse OperatorHandler::handle(const HttpRequest &request)
{
    const std::string path = request.path();
    if (path == "/health")
        return health();
    if (path == "/metrics")
        return HttpResponse{200, {{"Content-Type", "text/plain"}}, dependencies_.counters.toText()};
    if (path == "/v1/announce")
        return announce(request);
    if (!isAuthorised(request))
        return HttpResponse{401, {}, "a valid operator token is required\n"};
    if (path == "/v1/status")
        return status(request);
    if (path == "/v1/members")
        return jsonResponse(dependencies_.control.members());
    if (path == "/v1/moves")
        return jsonResponse(dependencies_.control.moves());
    if (path == "/v1/usage")
        return usage();
    return HttpResponse{404, {}, "unknown path " + path + "\n"};
}

HttpResponse OperatorHandler::health() const
{
    const bool isServing = dependencies_.routing.current()->isServing;
    return HttpResponse{isServing ? 200 : 503, {}, isServing ? "serving\n" : "not serving\n"};
}

HttpResponse OperatorHandler::status(const HttpRequest &request)
{
    const std::string revision = request.parameter("revision");
    if (!revision.empty()) {
        const std::chrono::milliseconds requestedTimeout(
                std::atol(request.parameter("timeoutMs").c_str()));
        dependencies_.revisions.waitFor(
                core::identity::Revision(std::strtoull(revision.c_str(), nullptr, 10)),
                std::clamp(requestedTimeout, std::chrono::milliseconds::zero(), maximumStatusWait));
    }
    return jsonResponse(dependencies_.control.status());
}

HttpResponse OperatorHandler::usage()
{
    if (dependencies_.control.usage() == nullptr)
        return HttpResponse{404, {}, "the settings ask for no usage reports\n"};
    return jsonResponse(dependencies_.control.usageStatus());
}

HttpResponse OperatorHandler::announce(const HttpRequest &request)
{
    core::findings::FindingList findings("announcement");
    const auto status
            = readAnnouncement(request.body, dependencies_.settings.operators.host, findings);
    if (!status)
        return HttpResponse{400, {}, findings.toString() + "\n"};
    dependencies_.control.upstreamAnnounced(*status);
    return HttpResponse{200, {}, "ok\n"};
}

bool OperatorHandler::isAuthorised(const HttpRequest &request) const
{
    const std::string &token = dependencies_.settings.operatorToken;
    return !token.empty() && request.header("Authorization") == "Bearer " + token;
}

} // namespace boragetrack::daemon::frontends
