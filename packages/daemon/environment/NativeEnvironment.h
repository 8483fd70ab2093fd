/** The product's native interface. */
#pragma once

#include "core/counters/CounterRegistry.h"
#include "daemon/environment/NodeEnvironment.h"
#include "daemon/service/EnvelopeSource.h"
#include "daemon/settings/NodeSettings.h"
#include "transport/dialect/NativeDialect.h"
#include "transport/http/BlockingClient.h"
#include "transport/http/HttpConfigStore.h"

namespace boragetrack::daemon::environment {

/** Implements the interface of docs/PROTOCOLS.md. Two threads wait for the platform's store: one
    watches the intent, the other records moves. */
class NativeEnvironment : public NodeEnvironment
{
public:
    /** @param counters outlives the environment
        @param sink receives each value of the intent's key; called on the watching thread */
    NativeEnvironment(const settings::NodeSettings &settings,
                      core::counters::CounterRegistry &counters,
                      service::StoreWatcher::ValueSink sink)
        : store_(settings.platform, httpClient_)
        , watcher_(store_, counters, std::move(sink))
        , recorder_(store_, settings.node, counters)
        , source_(watcher_, recorder_, settings.watchesAlways)
    {}

    const transport::dialect::CallDialect &dialect() const override { return dialect_; }
    service::IntentSource &source() override { return source_; }
    std::vector<transport::links::LoopComponent *> loopComponents() override { return {}; }

    void start() override
    {
        watcher_.start();
        recorder_.start();
    }

    void requestStop() override { watcher_.requestStop(); }
    ShutdownPlan shutdownPlan() const override { return {}; }

    bool stop() override
    {
        recorder_.stop();
        return watcher_.tryJoin();
    }

private:
    transport::dialect::NativeDialect dialect_;
    transport::http::BlockingClient httpClient_;
    transport::http::HttpConfigStore store_;
    service::StoreWatcher watcher_;
    service::MoveRecorder recorder_;
    service::EnvelopeSource source_;
};

} // namespace boragetrack::daemon::environment
