/** Restores the order of the windows, which a peer may not have kept. */
#include "transport/wire/UsageCodec.h"

#include <algorithm>

namespace boragetrack::transport::wire {

using control::usage::UsageCounts;
using control::usage::UsageSnapshot;
using control::usage::UsageWindow;
using control::usage::WindowCounts;

namespace {

void encodeCounts(const UsageCounts &counts, schema::UsageWindow::Builder message)
{
    auto list = message.initCounts(static_cast<unsigned int>(counts.size()));
    unsigned int index = 0;
    for (const auto &[organisation, requests] : counts) {
        list[index].setOrganisation(organisation.value());
        list[index].setRequests(requests);
        ++index;
    }
}

WindowCounts decodeWindow(schema::UsageWindow::Reader message)
{
    WindowCounts window{UsageWindow(message.getNumber()), {}, message.getFinal()};
    for (const auto count : message.getCounts())
        window.counts[core::identity::OrganisationName(count.getOrganisation())]
                = count.getRequests();
    return window;
}

} // namespace

void encode(const UsageSnapshot &snapshot, schema::UsageSnapshot::Builder message)
{
    message.setNode(snapshot.node.value());
    message.setGeneration(snapshot.generation);
    message.setSequence(snapshot.sequence);
    auto list = message.initWindows(static_cast<unsigned int>(snapshot.windows.size()));
    for (unsigned int i = 0; i < snapshot.windows.size(); ++i) {
        list[i].setNumber(snapshot.windows[i].window.number());
        list[i].setFinal(snapshot.windows[i].isFinal);
        encodeCounts(snapshot.windows[i].counts, list[i]);
    }
}

UsageSnapshot decode(schema::UsageSnapshot::Reader message)
{
    UsageSnapshot snapshot;
    snapshot.node = core::identity::NodeId(message.getNode());
    snapshot.generation = message.getGeneration();
    snapshot.sequence = message.getSequence();
    for (const auto window : message.getWindows())
        snapshot.windows.push_back(decodeWindow(window));
    std::sort(snapshot.windows.begin(), snapshot.windows.end(),
              [](const auto &left, const auto &right) { return left.window < right.window; });
    return snapshot;
}

} // namespace boragetrack::transport::wire
