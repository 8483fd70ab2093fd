/** The findings for one input. */
#pragma once

#include "core/findings/Finding.h"

#include <absl/status/status.h>
#include <string>
#include <vector>

namespace boragetrack::core::findings {

/** Collects findings so that all problems of an input are reported together. */
class FindingList
{
public:
    /** @param source names the input in messages, for example a file path */
    explicit FindingList(std::string source)
        : source_(std::move(source))
    {}

    /** Adds a finding at a JSON pointer into this list's source. */
    void add(std::string pointer, std::string message);

    /** Returns whether there are no findings. */
    bool isEmpty() const { return findings_.empty(); }

    /** Returns the findings in the order in which they were added. */
    const std::vector<Finding> &findings() const { return findings_; }

    /** Returns the findings as lines, separated by line feeds. */
    std::string toString() const;

    /** Returns OK if there are no findings, otherwise InvalidArgument with all of them. */
    absl::Status toStatus() const;

private:
    std::string source_;
    std::vector<Finding> findings_;
};

} // namespace boragetrack::core::findings
