/** Linear search, as plans have only a few kinds. */
#include "emulator/plan/LoadPlan.h"

#include <algorithm>

namespace boragetrack::emulator::plan {

const KindPlan *LoadPlan::findKind(const std::string &kindName) const
{
    const auto found = std::find_if(kinds.begin(), kinds.end(),
                                    [&](const KindPlan &each) { return each.name == kindName; });
    return found == kinds.end() ? nullptr : &*found;
}

} // namespace boragetrack::emulator::plan
