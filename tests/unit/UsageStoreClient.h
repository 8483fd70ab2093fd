/** A process's client of the simulated store. */
#pragma once

#include "UsageFaults.h"
#include "UsageProcess.h"
#include "UsageStoreModel.h"

namespace boragetrack::tests {

/** Adds delays and faults to the calls of one process. */
class UsageStoreClient : public control::records::RecordStore
{
public:
    UsageStoreClient(UsageWorld &world, UsageProcess &process, UsageStoreModel &model,
                     const UsageFaults &faults, const bool &isCut)
        : world_(world)
        , process_(process)
        , model_(model)
        , faults_(faults)
        , isCut_(isCut)
    {}

    void list(const std::string &prefix, const std::string &after,
              std::chrono::milliseconds timeout,
              Callback<control::records::RecordPage> callback) override;
    void watch(const std::string &prefix, core::identity::Revision after,
               std::chrono::milliseconds wait, std::chrono::milliseconds timeout,
               Callback<control::records::RecordChanges> callback) override;
    void probe(control::records::ReadConsistency consistency, std::chrono::milliseconds timeout,
               Callback<core::identity::Revision> callback) override;
    void commit(const std::vector<control::records::RecordWrite> &writes,
                std::chrono::milliseconds timeout,
                Callback<core::identity::Revision> callback) override;
    void grantLease(std::chrono::milliseconds timeToLive, std::chrono::milliseconds timeout,
                    Callback<control::records::Lease> callback) override;
    void renewLease(const control::records::Lease &lease, std::chrono::milliseconds timeout,
                    Callback<control::records::Lease> callback) override;

    /** If set, the response to the next commit is lost. */
    bool losesNextCommitResponse = false;
    /** If set, the next commit is executed only after this time. */
    std::chrono::milliseconds nextCommitDelay{0};

private:
    template <typename Response>
    void call(std::chrono::milliseconds timeout, Callback<Response> callback,
              std::function<absl::StatusOr<Response>()> execute, bool losesResponse = false,
              std::chrono::milliseconds extraDelay = std::chrono::milliseconds(0));

    UsageWorld &world_;
    UsageProcess &process_;
    UsageStoreModel &model_;
    const UsageFaults &faults_;
    const bool &isCut_;
};

} // namespace boragetrack::tests
