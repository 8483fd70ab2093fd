/** Implements FindingList. */
#include "core/findings/FindingList.h"

namespace boragetrack::core::findings {

void FindingList::add(std::string pointer, std::string message)
{
    findings_.push_back(Finding{Location{source_, std::move(pointer)}, std::move(message)});
}

std::string FindingList::toString() const
{
    std::string text;
    for (const Finding &finding : findings_) {
        if (!text.empty())
            text += '\n';
        text += finding.toString();
    }
    return text;
}

absl::Status FindingList::toStatus() const
{
    if (findings_.empty())
        return absl::OkStatus();
    return absl::InvalidArgumentError(toString());
}

} // namespace boragetrack::core::findings
