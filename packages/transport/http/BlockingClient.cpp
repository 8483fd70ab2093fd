/** Waits for AsyncClient, so that all responses pass the same checks. */
#include "transport/http/BlockingClient.h"

#include "transport/http/AsyncClient.h"

#include <kj/async-io.h>
#include <kj/exception.h>

namespace boragetrack::transport::http {

absl::StatusOr<HttpResponse> BlockingClient::send(const core::identity::NetworkAddress &server,
                                                  const HttpRequest &request,
                                                  std::chrono::milliseconds timeout)
{
    absl::StatusOr<HttpResponse> response;
    KJ_IF_MAYBE (exception, kj::runCatchingExceptions([&]() {
                     kj::AsyncIoContext io = kj::setupAsyncIo();
                     AsyncClient client(io.provider->getNetwork(), io.provider->getTimer(), server);
                     response = client.send(request, timeout).wait(io.waitScope);
                 }))
        return absl::UnknownError(exception->getDescription().cStr());
    return response;
}

} // namespace boragetrack::transport::http
