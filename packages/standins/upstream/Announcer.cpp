/** Ignores errors, because the next announcement follows after a second. */
#include "standins/upstream/Announcer.h"

#include "transport/http/BlockingClient.h"

namespace boragetrack::standins::upstream {

namespace {
constexpr std::chrono::milliseconds announcementInterval{1000};
constexpr std::chrono::milliseconds sendTimeout{1000};
} // namespace

Announcer::Announcer(core::identity::NetworkAddress node, nlohmann::json announcement)
    : node_(std::move(node))
    , announcement_(std::move(announcement))
{
    thread_ = std::thread([this]() { run(); });
}

Announcer::~Announcer()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    stopRequested_.notify_all();
    thread_.join();
}

void Announcer::announceDraining()
{
    std::string text;
    {
        const std::lock_guard lock(mutex_);
        announcement_["state"] = "draining";
        text = announcement_.dump();
    }
    send(text);
}

void Announcer::run()
{
    std::unique_lock lock(mutex_);
    while (!isStopping_) {
        const std::string text = announcement_.dump();
        lock.unlock();
        send(text);
        lock.lock();
        stopRequested_.wait_for(lock, announcementInterval, [this] { return isStopping_; });
    }
}

void Announcer::send(const std::string &text) const
{
    transport::http::BlockingClient client;
    (void)client.send(node_, {"POST", "/v1/announce", {}, text}, sendTimeout);
}

} // namespace boragetrack::standins::upstream
