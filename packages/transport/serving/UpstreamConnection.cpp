/** Implements UpstreamConnection. */
#include "transport/serving/UpstreamConnection.h"

namespace boragetrack::transport::serving {

void UpstreamConnection::markIdle(core::timing::MonotonicTime now,
                                  std::chrono::milliseconds keptFor)
{
    reusableUntil_ = now + keptFor;
    watch();
}

bool UpstreamConnection::isReusable(core::timing::MonotonicTime now) const
{
    return !stream_.isEnded() && stream_.bytes().empty() && now < reusableUntil_;
}

void UpstreamConnection::watch()
{
    watching_ = stream_.readMore().eagerlyEvaluate(nullptr);
}

} // namespace boragetrack::transport::serving
