/** A call that was sent is executed even if the process ends meanwhile. */
#include "UsageReceiverClient.h"

namespace boragetrack::tests {

using control::usage::FencingToken;
using control::usage::UsageReport;
using std::chrono::milliseconds;

void UsageReceiverClient::send(const UsageReport &report, const core::identity::NodeId &holder,
                               FencingToken token, std::chrono::nanoseconds sendBefore,
                               milliseconds timeout, Callback callback)
{
    ++calls;
    const auto isOpen = std::make_shared<bool>(true);
    const Callback respond = [isOpen, callback = std::move(callback)](const absl::Status &status) {
        if (std::exchange(*isOpen, false))
            callback(status);
    };
    process_.schedule(timeout, [respond]() { respond(absl::UnknownError("no response")); });
    // The sending thread is paused together with the process.
    process_.schedule(world_.between(milliseconds(0), milliseconds(200)),
                      [this, report, holder, token, sendBefore, respond]() {
                          if (world_.now() >= sendBefore || token <= revoked_) {
                              respond(absl::UnavailableError("too late"));
                              return;
                          }
                          rules_.sent(world_.now(), {holder, generation_}, report, token);
                          transmit(report, token, respond);
                      });
}

void UsageReceiverClient::transmit(const UsageReport &report, FencingToken token,
                                   const Callback &respond)
{
    if (faults_.isReceiverOut || isCut_ || world_.happens(faults_.lostCall))
        return;
    if (world_.happens(faults_.refusedCall)) {
        process_.schedule(milliseconds(5),
                          [respond]() { respond(absl::ResourceExhaustedError("busy")); });
        return;
    }
    milliseconds delay = world_.between(milliseconds(1), milliseconds(150));
    if (world_.happens(faults_.lateCall))
        delay = world_.between(milliseconds(1000), milliseconds(9000));
    if (nextDelay)
        delay = *std::exchange(nextDelay, std::nullopt);
    const bool losesResponse = world_.happens(faults_.lostResponse);
    const auto reply = process_.wrapResponse<absl::Status>(
            [&rules = rules_, token, respond](const absl::Status &status) {
                if (absl::IsFailedPrecondition(status))
                    rules.fenced(token);
                respond(status);
            });
    world_.schedule(delay,
                    [&model = model_, &world = world_, report, token, reply, losesResponse]() {
                        const absl::Status status = model.execute(report, token, world.now());
                        if (!losesResponse)
                            world.schedule(milliseconds(5), [reply, status]() { reply(status); });
                    });
}

} // namespace boragetrack::tests
