/** Decides from the read-ahead stream and the idle timeout whether a connection can be reused. */
#include "transport/serving/UpstreamConnection.h"

namespace boragetrack::transport::serving {

void UpstreamConnection::markIdle(core::timing::MonotonicTime now,
                                  std::chrono::milliseconds idleTimeout)
{
    reusableUntil_ = now + idleTimeout;
    watchForClose();
}

bool UpstreamConnection::isReusable(core::timing::MonotonicTime now) const
{
    return !stream_.isEnded() && stream_.bytes().empty() && now < reusableUntil_;
}

void UpstreamConnection::watchForClose()
{
    closeWatch_ = stream_.readMore().eagerlyEvaluate(nullptr);
}

} // namespace boragetrack::transport::serving
