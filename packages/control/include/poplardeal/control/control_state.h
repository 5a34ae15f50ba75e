#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <poplardeal/base/failure.h>
#include <poplardeal/base/ids.h>
#include <poplardeal/base/time.h>
#include <poplardeal/consensus/replica.h>
#include <poplardeal/control/control_command.h>
#include <poplardeal/deployment/model.h>
#include <poplardeal/placement/scheduler.h>
#include <string>
#include <vector>

namespace poplardeal {

/// One accepted version of the deployment.
struct deployment_record {
    deployment_version version;
    operator_name operatorName;
    order_id order;
    instant time; ///< Wall clock of the leader that accepted it.
    std::string change; ///< For instance "apply" or "data-centre out kariakoo".
    std::string toml;
};

enum class worker_state {
    online,
    suspected,
    lost,
};

std::string_view toString(worker_state);

struct known_worker {
    worker_spec spec;
    worker_state state { worker_state::online };
};

/// The replicated state of control: deployment history, answered orders, claimed keys, workers and the scheduler.
/// The same entries give the same state on every replica. Answers are JSON texts with `verdict` and `status` (HTTP).
///
///     control_state state;
///     auto answer = state.apply(index, encodeControlEntry(entry));
class control_state final : public state_machine {
public:
    control_state();
    ~control_state() override;
    control_state(const control_state&) = delete;
    control_state& operator=(const control_state&) = delete;

    std::string apply(std::uint64_t index, std::string_view payload) override;
    std::string takeSnapshot() const override;
    result<void> installSnapshot(std::string_view) override;

    /// Called after each change of the version in force.
    void onDeploymentChanged(std::function<void()>);

    /// Commands of the scheduler since the last call. Replicas that do not lead drop them.
    std::vector<placement_command> takeCommands();

    const scheduler& placement() const;
    const std::vector<known_worker>& workers() const;
    const known_worker* findWorker(const worker_id&) const;

    deployment_version version() const;
    /// The deployment in force, or nothing before the first one was applied.
    const std::optional<deployment>& current() const;
    const std::vector<deployment_record>& history() const;
    const deployment_record* findVersion(deployment_version) const;

    /// Time of the last applied entry.
    instant lastTime() const;

    /// Hash of the whole state, equal on replicas that applied the same entries.
    std::uint64_t digest() const;

    /// Answers of orders are kept this long; a resend after that is taken as a new order.
    static constexpr std::chrono::hours orderRetention { 24 };
    static constexpr std::size_t maxOrders = 200000;
    static constexpr std::chrono::hours claimRetention { 24 };
    static constexpr std::size_t maxClaims = 200000;
    static constexpr std::size_t maxVersionsKept = 256;
    static constexpr std::size_t maxWorkers = 4096;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace poplardeal
