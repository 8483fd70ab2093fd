/** All fuzz targets by name. */
#pragma once

#include "tests/fuzz/FuzzTarget.h"
#include "tests/fuzz/LinkTarget.h"
#include "tests/fuzz/MessageCorpus.h"
#include "tests/fuzz/MessageTarget.h"

#include <map>
#include <memory>

namespace boragetrack::tests {

inline std::map<std::string, std::unique_ptr<FuzzTarget>> makeFuzzTargets()
{
    using namespace transport::http;
    std::map<std::string, std::unique_ptr<FuzzTarget>> targets;
    targets["requests"] = std::make_unique<MessageTarget<RequestHead>>(requestCorpus(), true);
    targets["responses"] = std::make_unique<MessageTarget<ResponseHead>>(responseCorpus(), true);
    targets["head-responses"]
            = std::make_unique<MessageTarget<ResponseHead>>(responseCorpus(), false);
    targets["links"] = std::make_unique<LinkTarget>();
    return targets;
}

} // namespace boragetrack::tests
