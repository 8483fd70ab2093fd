/** HTTP handler of the upstream stand-in. */
#pragma once

#include "core/identity/VersionName.h"
#include "core/timing/MonotonicTime.h"
#include "standins/upstream/RequestJournal.h"
#include "standins/upstream/UpstreamBehaviour.h"
#include "transport/http/HttpHandler.h"

#include <condition_variable>
#include <mutex>

namespace boragetrack::standins::upstream {

/**
    Responds to every target after the service time and records each run.

    Requests wait for a free slot; when the queue is full, they are shed with status 503 and do not
    run. A request to "/_cold" makes the upstream cold as after a start. The response contains the
    request id, the body length and the version, so that callers can detect a wrong response.
*/
class UpstreamHandler : public transport::http::HttpHandler
{
public:
    /** @param version is named in each response
        @param journalPath the file of the journal; empty for none */
    UpstreamHandler(core::identity::VersionName version, UpstreamBehaviour behaviour,
                    const std::string &journalPath);

    transport::http::HttpResponse handle(const transport::http::HttpRequest &request) override;

    /** Blocks until no request is running or waiting. */
    void waitUntilIdle();

private:
    // Waits for a slot; returns false if the queue is full.
    bool acquireSlot();
    void releaseSlot();
    // isCold() and isDegraded() require mutex_.
    bool isCold() const;
    bool isDegraded(const transport::http::HttpRequest &request) const;
    transport::http::HttpResponse run(const transport::http::HttpRequest &request);

    core::identity::VersionName version_;
    UpstreamBehaviour behaviour_;
    RequestJournal journal_;
    // Protects the members below it.
    mutable std::mutex mutex_;
    std::condition_variable slotFree_;
    core::timing::MonotonicTime startedAt_;
    core::timing::MonotonicTime coldSince_;
    int running_ = 0;
    int waiting_ = 0;
    unsigned long runCount_ = 0;
};

} // namespace boragetrack::standins::upstream
