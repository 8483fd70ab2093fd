/** A listener for tests of the upstream client. */
#pragma once

#include "transport/serving/UpstreamClient.h"

namespace boragetrack::tests {

/** Counts how often the client found that the upstream had ended. */
class UpstreamListener : public transport::serving::UpstreamClient::Listener
{
public:
    void upstreamEnded() override { ++ends; }

    int ends = 0;
};

} // namespace boragetrack::tests
