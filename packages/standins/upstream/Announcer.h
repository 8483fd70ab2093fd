/** Announcements of the upstream stand-in to its node. */
#pragma once

#include "core/identity/NetworkAddress.h"

#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

namespace boragetrack::standins::upstream {

/** Sends an announcement every second on its own thread until it is destroyed. */
class Announcer
{
public:
    /** @param node the operator address of the co-located node
        @param announcement the body of each announcement */
    Announcer(core::identity::NetworkAddress node, nlohmann::json announcement);
    ~Announcer();
    Announcer(const Announcer &) = delete;
    Announcer &operator=(const Announcer &) = delete;

    /** Announces immediately, on the calling thread, that the upstream is draining. Later
        announcements contain the same state. */
    void announceDraining();

private:
    void run();
    void send(const std::string &text) const;

    core::identity::NetworkAddress node_;
    // Protects announcement_ and isStopping_.
    std::mutex mutex_;
    std::condition_variable stopRequested_;
    nlohmann::json announcement_;
    bool isStopping_ = false;
    std::thread thread_;
};

} // namespace boragetrack::standins::upstream
