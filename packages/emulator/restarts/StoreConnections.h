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
    /** Returns an idle connection that had a response lately, or a new one if there is none. */
    std::shared_ptr<StoreConnection> acquire(core::timing::MonotonicTime now);

    /** Keeps the connection of a call that got its response. That of a failed call is dropped. */
    void release(const std::shared_ptr<StoreConnection> &connection,
                 core::timing::MonotonicTime now);

    /** Makes all connections silent that are open now, also those with a call. */
    void silence();

private:
    std::vector<std::shared_ptr<StoreConnection>> idle_;
    std::vector<std::weak_ptr<StoreConnection>> open_;
};

} // namespace boragetrack::emulator::restarts
