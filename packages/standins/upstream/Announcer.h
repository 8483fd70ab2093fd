/** Announces an upstream to the node beside it. */
#pragma once

#include "core/identity/NetworkAddress.h"

#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

namespace boragetrack::standins::upstream {

/** Sends the announcement each second until it is destroyed. */
class Announcer
{
public:
    Announcer(core::identity::NetworkAddress node, nlohmann::json announcement);
    ~Announcer();
    Announcer(const Announcer &) = delete;
    Announcer &operator=(const Announcer &) = delete;

    /** Announces at once that the upstream is draining. */
    void announceDraining();

private:
    void run();
    void send(const std::string &text) const;

    core::identity::NetworkAddress node_;
    std::mutex mutex_;
    std::condition_variable stopRequested_;
    nlohmann::json announcement_;
    bool isStopping_ = false;
    std::thread thread_;
};

} // namespace boragetrack::standins::upstream
