/** The record of all requests that an upstream ran. */
#pragma once

#include <cstdio>
#include <mutex>
#include <string>

namespace boragetrack::standins::upstream {

/** Writes a line for each request that runs, so that doubling and loss are counted even when the
    process is killed. */
class RequestJournal
{
public:
    /** Appends to a file; an empty path keeps no journal. */
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

    /** Records one run: milliseconds since 1970, method, request id, outcome and coldness. */
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
