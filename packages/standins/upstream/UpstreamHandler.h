/** The upstream stand-in's HTTP protocol. */
#pragma once

#include "core/identity/VersionName.h"
#include "core/timing/MonotonicTime.h"
#include "standins/upstream/RequestJournal.h"
#include "standins/upstream/UpstreamBehaviour.h"
#include "transport/http/HttpHandler.h"

#include <condition_variable>
#include <mutex>

namespace boragetrack::standins::upstream {

/** Serves every target within its slots and records each run; "/_cold" makes it cold again. */
class UpstreamHandler : public transport::http::HttpHandler
{
public:
    UpstreamHandler(core::identity::VersionName version, UpstreamBehaviour behaviour,
                    const std::string &journalPath);

    transport::http::HttpResponse handle(const transport::http::HttpRequest &request) override;

    /** Waits until no request is under way. */
    void waitUntilIdle();

private:
    bool acquireSlot();
    void releaseSlot();
    bool isCold() const;
    bool isDegraded(const transport::http::HttpRequest &request) const;
    transport::http::HttpResponse run(const transport::http::HttpRequest &request);

    core::identity::VersionName version_;
    UpstreamBehaviour behaviour_;
    RequestJournal journal_;
    mutable std::mutex mutex_;
    std::condition_variable slotFree_;
    core::timing::MonotonicTime startedAt_;
    core::timing::MonotonicTime coldSince_;
    int running_ = 0;
    int waiting_ = 0;
    unsigned long runCount_ = 0;
};

} // namespace boragetrack::standins::upstream
