/** The collected faults of one input. */
#pragma once

#include "core/findings/Finding.h"

#include <absl/status/status.h>
#include <string>
#include <vector>

namespace boragetrack::core::findings {

/** Collects findings, so that all faults of an input are reported together. */
class FindingList
{
public:
    explicit FindingList(std::string source)
        : source_(std::move(source))
    {}

    /** Adds a finding at a JSON pointer of this list's source. */
    void add(std::string pointer, std::string message);

    /** Returns whether nothing was found. */
    bool isEmpty() const { return findings_.empty(); }

    /** Returns the findings in the order in which they were added. */
    const std::vector<Finding> &findings() const { return findings_; }

    /** Returns one line for each finding. */
    std::string toString() const;

    /** Returns OK, or an InvalidArgument error that carries all findings. */
    absl::Status toStatus() const;

private:
    std::string source_;
    std::vector<Finding> findings_;
};

} // namespace boragetrack::core::findings
