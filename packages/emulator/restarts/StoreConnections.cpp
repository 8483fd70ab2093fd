/** A connection is open for as long as a call uses it or it is kept as idle. */
#include "emulator/restarts/StoreConnections.h"

#include "transport/http/AsyncClient.h"

namespace boragetrack::emulator::restarts {

using core::timing::MonotonicTime;

std::shared_ptr<StoreConnection> StoreConnections::acquire(MonotonicTime now)
{
    std::erase_if(idle_, [now](const auto &connection) {
        return now - connection->respondedAt > transport::http::AsyncClient::maximumIdleTime;
    });
    if (!idle_.empty()) {
        const std::shared_ptr<StoreConnection> connection = idle_.back();
        idle_.pop_back();
        return connection;
    }
    const auto connection = std::make_shared<StoreConnection>();
    std::erase_if(open_, [](const auto &other) { return other.expired(); });
    open_.push_back(connection);
    return connection;
}

void StoreConnections::release(const std::shared_ptr<StoreConnection> &connection,
                               MonotonicTime now)
{
    connection->respondedAt = now;
    idle_.push_back(connection);
}

void StoreConnections::silence()
{
    for (const auto &open : open_) {
        if (const auto connection = open.lock())
            connection->isSilent = true;
    }
}

} // namespace boragetrack::emulator::restarts
