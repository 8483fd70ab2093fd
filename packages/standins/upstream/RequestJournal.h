/** Log file of all requests that the upstream stand-in ran. */
#pragma once

#include <cstdio>
#include <mutex>
#include <string>

namespace boragetrack::standins::upstream {

/** Writes and flushes a line when a request starts to run, so that duplicate and lost runs can be
    counted even if the process is killed. Thread-safe. */
class RequestJournal
{
public:
    /** @param path the file to append to; nothing is recorded if it is empty */
    explicit RequestJournal(const std::string &path)
        : file_(path.empty() ? nullptr : std::fopen(path.c_str(), "a"))
    {}
    ~RequestJournal()
    {
        if (file_ != nullptr)
            std::fclose(file_);
    }
    RequestJournal(const RequestJournal &) = delete;
    RequestJournal &operator=(const RequestJournal &) = delete;

    /** Records one run.
        @param atMilliseconds the start in milliseconds since 1970
        @param id the request id
        @param isDegraded whether the request fails or is slowed down by an injected fault
        @param isColdOverload whether other requests were queued while the upstream was cold */
    void recordRun(long long atMilliseconds, const std::string &method, const std::string &id,
                   bool isDegraded, bool isColdOverload)
    {
        if (file_ == nullptr)
            return;
        const std::lock_guard lock(mutex_);
        std::fprintf(file_, "%lld %s %s %d %d\n", atMilliseconds, method.c_str(), id.c_str(),
                     isDegraded ? 1 : 0, isColdOverload ? 1 : 0);
        std::fflush(file_);
    }

private:
    std::FILE *file_;
    std::mutex mutex_;
};

} // namespace boragetrack::standins::upstream
