/** The connections of a simulated node to the store. */
#pragma once

#include "emulator/restarts/StoreConnection.h"

#include <memory>
#include <vector>

namespace boragetrack::emulator::restarts {

/** Keeps connections between calls and takes the one that was used last, as
    transport::http::AsyncClient does. */
class StoreConnections
{
public:
    /** Returns an idle connection, or a new one if there is none. */
    std::shared_ptr<StoreConnection> acquire();

    /** Keeps the connection of a call that got its response. That of a failed call is dropped. */
    void release(const std::shared_ptr<StoreConnection> &connection)
    {
        idle_.push_back(connection);
    }

    /** Makes all connections silent that are open now, also those with a call. */
    void silence();

private:
    std::vector<std::shared_ptr<StoreConnection>> idle_;
    std::vector<std::weak_ptr<StoreConnection>> open_;
};

} // namespace boragetrack::emulator::restarts
