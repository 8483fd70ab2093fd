/** Configuration store on the platform's key-value service. */
#pragma once

#include "control/store/ConfigStore.h"
#include "transport/http/HttpClient.h"

namespace boragetrack::transport::http {

/** Reads a key with GET, watches it with a long-polling GET and writes it with PUT, which names the
    expected version. Blocks until the platform responds. */
class HttpConfigStore : public control::store::ConfigStore
{
public:
    /** @param client outlives the store */
    HttpConfigStore(core::identity::NetworkAddress platform, HttpClient &client)
        : platform_(std::move(platform))
        , client_(client)
    {}

    absl::StatusOr<control::store::StoredValue> read(const std::string &key) override;
    absl::StatusOr<control::store::StoredValue> watch(const std::string &key,
                                                      control::store::StoreVersion known,
                                                      std::chrono::milliseconds timeout) override;
    absl::StatusOr<control::store::StoreVersion>
    compareAndSwap(const std::string &key, control::store::StoreVersion expected,
                   const std::string &value) override;

private:
    absl::StatusOr<control::store::StoredValue> get(const std::string &target,
                                                    std::chrono::milliseconds timeout);

    core::identity::NetworkAddress platform_;
    HttpClient &client_;
};

} // namespace boragetrack::transport::http
