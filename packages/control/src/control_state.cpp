#include "answered_orders.h"
#include "claimed_keys.h"
#include "placement_json.h"

#include <algorithm>
#include <poplardeal/base/json.h>
#include <poplardeal/base/log.h>
#include <poplardeal/control/control_state.h>
#include <poplardeal/deployment/breaks.h>
#include <poplardeal/deployment/diff.h>
#include <poplardeal/deployment/toml.h>
#include <poplardeal/placement/admission.h>
#include <xxhash.h>

namespace poplardeal {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(deployment_record, version, operatorName, order, time, change, toml)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(known_worker, spec, state)

std::string_view toString(worker_state state)
{
    switch (state) {
    case worker_state::online:
        return "online";
    case worker_state::suspected:
        return "suspected";
    case worker_state::lost:
        return "lost";
    }
    return "lost";
}

namespace detail {

    using json = nlohmann::json;

    // Format of the snapshot. Raised when a field changes its meaning; older snapshots must stay readable.
    static constexpr int snapshotFormat = 1;

    static json accepted() { return { { "verdict", toString(run_verdict::ran) }, { "status", 200 } }; }

    static json refused(int status, const failure& reason)
    {
        return { { "verdict", toString(run_verdict::not_run) }, { "status", status },
            { "error", { { "code", toString(reason.code) }, { "message", reason.message } } } };
    }

    static std::string describe(const std::vector<deployment_change>& changes)
    {
        std::string text;
        for (const auto& change : changes)
            text += (text.empty() ? "" : "; ") + toString(change);
        return text.empty() ? "no difference" : text;
    }

    // Data centres may be taken out and in at any moment, so a plan that changes nothing else needs no break.
    static bool differsOnlyInService(deployment before, deployment after)
    {
        for (auto* plan : { &before, &after }) {
            for (auto& dataCentre : plan->dataCentres)
                dataCentre.inService = true;
        }
        return before == after;
    }

} // namespace detail

struct control_state::impl {
    instant lastTime;
    deployment_version version;
    std::optional<deployment> current;
    std::vector<deployment_record> history;
    detail::answered_orders orders { maxOrders, orderRetention };
    detail::claimed_keys claims { maxClaims, claimRetention };
    std::uint64_t lastJob { 0 };
    std::vector<known_worker> workers;
    poplardeal::scheduler scheduler;
    std::vector<placement_command> commands;
    std::function<void()> deploymentChanged;

    nlohmann::json execute(const apply_deployment&);
    nlohmann::json execute(const order_data_centre&);
    nlohmann::json execute(const submit_job&);
    nlohmann::json execute(const cancel_job&);
    nlohmann::json execute(const claim_key&);
    nlohmann::json execute(const settle_key&);
    nlohmann::json execute(const observe_placement&);

    template <class Order> std::string executeOnce(const Order&);
    result<deployment> checkPlan(const apply_deployment&) const;
    void putInForce(deployment, const order_origin&, std::string change);
    void schedule(const placement_event&);
    void noteWorker(const placement_event&);
    void setWorkerState(const worker_id&, incarnation, worker_state);
    nlohmann::json save() const;
    void restore(const nlohmann::json&);
};

void control_state::impl::schedule(const placement_event& event)
{
    for (auto& command : scheduler.apply(event, lastTime))
        commands.push_back(std::move(command));
}

result<deployment> control_state::impl::checkPlan(const apply_deployment& order) const
{
    auto plan = parseDeployment(order.toml, "plan");
    if (plan.has_error())
        return plan.error();
    auto admitted = admit(plan.value());
    if (admitted.has_error())
        return admitted.error();
    if (current && !detail::differsOnlyInService(*current, plan.value()) && !isInBreak(*current, lastTime))
        return failure { failure_code::unavailable,
            "workspaces and jobs can be changed only in the break; the next one is listed in the deployment in force" };
    return plan.value();
}

void control_state::impl::putInForce(deployment plan, const order_origin& origin, std::string change)
{
    version = deployment_version(version.value() + 1);
    current = std::move(plan);
    history.push_back(
        { version, origin.operatorName, origin.id, lastTime, std::move(change), printDeployment(*current) });
    if (history.size() > maxVersionsKept)
        history.erase(history.begin());
    schedule(deployment_changed { *current });
    if (deploymentChanged)
        deploymentChanged();
}

nlohmann::json control_state::impl::execute(const apply_deployment& order)
{
    if (order.base != version) {
        auto answer = detail::refused(409,
            { failure_code::conflict,
                "the plan is based on version " + std::to_string(order.base.value()) + ", but version "
                    + std::to_string(version.value()) + " is in force" });
        answer["version"] = version.value();
        const auto plan = parseDeployment(order.toml, "plan");
        if (current && plan.has_value())
            answer["difference"] = detail::describe(difference(*current, plan.value()));
        return answer;
    }
    auto plan = checkPlan(order);
    if (plan.has_error())
        return detail::refused(plan.error().code == failure_code::invalid_argument ? 400 : 422, plan.error());
    putInForce(std::move(plan).value(), order.origin, "apply");
    auto answer = detail::accepted();
    answer["version"] = version.value();
    return answer;
}

nlohmann::json control_state::impl::execute(const order_data_centre& order)
{
    if (!current)
        return detail::refused(404, { failure_code::not_found, "no deployment is in force" });
    auto plan = *current;
    const auto found = std::find_if(plan.dataCentres.begin(), plan.dataCentres.end(),
        [&](const data_centre& dataCentre) { return dataCentre.name == order.dataCentre; });
    if (found == plan.dataCentres.end())
        return detail::refused(404, { failure_code::not_found, "no data centre is named " + order.dataCentre.value() });
    if (found->inService != order.inService) {
        found->inService = order.inService;
        const std::string direction = order.inService ? "in" : "out";
        putInForce(std::move(plan), order.origin, "data-centre " + direction + " " + order.dataCentre.value());
    }
    auto answer = detail::accepted();
    answer["version"] = version.value();
    return answer;
}

nlohmann::json control_state::impl::execute(const submit_job& order)
{
    const job_id id(lastJob + 1);
    schedule(job_submitted { id, order.workspace, order.job });
    const auto status = scheduler.job(id);
    if (!status)
        return detail::refused(
            404, { failure_code::not_found, "the deployment in force has no such workspace and job" });
    lastJob = id.value();
    if (status->phase == job_phase::refused) {
        auto answer = detail::refused(422, { failure_code::infeasible, status->reason });
        answer["id"] = id.value();
        return answer;
    }
    auto answer = detail::accepted();
    answer["id"] = id.value();
    return answer;
}

nlohmann::json control_state::impl::execute(const cancel_job& order)
{
    if (!scheduler.job(order.job))
        return detail::refused(
            404, { failure_code::not_found, "no job has the id " + std::to_string(order.job.value()) });
    schedule(job_cancelled { order.job });
    const auto status = scheduler.job(order.job);
    auto answer = detail::accepted();
    answer["id"] = order.job.value();
    answer["phase"] = toString(status->phase);
    return answer;
}

nlohmann::json control_state::impl::execute(const claim_key& wanted)
{
    const auto outcome = claims.claim(wanted, lastTime);
    nlohmann::json answer = { { "outcome", static_cast<int>(outcome) } };
    if (const auto* claim = claims.find(wanted.service, wanted.key)) {
        answer["endpoint"] = claim->endpoint;
        answer["incarnation"] = claim->instance;
        answer["verdict"] = toString(claim->verdict);
    }
    return answer;
}

nlohmann::json control_state::impl::execute(const settle_key& settled)
{
    claims.settle(settled);
    return detail::accepted();
}

nlohmann::json control_state::impl::execute(const observe_placement& observed)
{
    noteWorker(observed.event);
    schedule(observed.event);
    return detail::accepted();
}

void control_state::impl::setWorkerState(const worker_id& id, incarnation instance, worker_state state)
{
    for (auto& worker : workers) {
        if (worker.spec.id == id && worker.spec.instance == instance)
            worker.state = state;
    }
}

void control_state::impl::noteWorker(const placement_event& event)
{
    if (const auto* joined = std::get_if<worker_joined>(&event)) {
        const auto found = std::find_if(workers.begin(), workers.end(),
            [&](const known_worker& worker) { return worker.spec.id == joined->worker.id; });
        if (found != workers.end())
            *found = { joined->worker, worker_state::online };
        else if (workers.size() < maxWorkers)
            workers.push_back({ joined->worker, worker_state::online });
    } else if (const auto* lost = std::get_if<worker_lost>(&event)) {
        setWorkerState(lost->worker, lost->instance, worker_state::lost);
    } else if (const auto* suspected = std::get_if<worker_suspected>(&event)) {
        setWorkerState(suspected->worker, suspected->instance, worker_state::suspected);
    } else if (const auto* recovered = std::get_if<worker_recovered>(&event)) {
        setWorkerState(recovered->worker, recovered->instance, worker_state::online);
    }
}

template <class Order> std::string control_state::impl::executeOnce(const Order& order)
{
    const auto content = encodeControlEntry({ instant(), order });
    const auto fingerprint = XXH3_64bits(content.data(), content.size());
    const auto known = orders.lookup(order.origin.id, fingerprint);
    using lookup_kind = detail::answered_orders::lookup_kind;
    switch (known.kind) {
    case lookup_kind::answered:
        return known.answer;
    case lookup_kind::other_content:
        return detail::refused(409,
            { failure_code::conflict,
                "order id " + order.origin.id.value() + " was used for an order with other content" })
            .dump();
    case lookup_kind::full:
        return detail::refused(503, { failure_code::overloaded, "too many orders within a day" }).dump();
    case lookup_kind::unknown:
        break;
    }
    auto answer = execute(order).dump();
    orders.record(order.origin.id, fingerprint, answer, lastTime);
    return answer;
}

nlohmann::json control_state::impl::save() const
{
    const auto placement = scheduler.save();
    return { { "format", detail::snapshotFormat }, { "lastTime", lastTime }, { "version", version },
        { "history", history }, { "orders", orders.save() }, { "claims", claims.save() }, { "lastJob", lastJob },
        { "workers", workers }, { "scheduler", nlohmann::json::binary({ placement.begin(), placement.end() }) } };
}

void control_state::impl::restore(const nlohmann::json& saved)
{
    if (saved.at("format") != detail::snapshotFormat)
        throw std::invalid_argument("unknown snapshot format");
    const auto& placement = saved.at("scheduler").get_binary();
    auto restored = poplardeal::scheduler::restore(std::string(placement.begin(), placement.end()));
    if (restored.has_error())
        throw std::invalid_argument(restored.error().message);
    lastTime = saved.at("lastTime").get<instant>();
    version = saved.at("version").get<deployment_version>();
    history = saved.at("history").get<std::vector<deployment_record>>();
    orders.restore(saved.at("orders"));
    claims.restore(saved.at("claims"));
    lastJob = saved.at("lastJob");
    workers = saved.at("workers").get<std::vector<known_worker>>();
    scheduler = std::move(restored).value();
    commands.clear();
    current.reset();
    if (!history.empty()) {
        auto plan = parseDeployment(history.back().toml, "snapshot");
        if (plan.has_error())
            throw std::invalid_argument(plan.error().message);
        current = std::move(plan).value();
    }
}

control_state::control_state()
    : m_impl(std::make_unique<impl>())
{
}

control_state::~control_state() = default;

std::string control_state::apply(std::uint64_t index, std::string_view payload)
{
    auto decoded = decodeControlEntry(payload);
    if (decoded.has_error()) {
        logEvent(
            log_level::error, "control_entry_refused", { { "index", index }, { "reason", decoded.error().message } });
        return detail::refused(500, decoded.error()).dump();
    }
    auto& state = *m_impl;
    state.lastTime = std::max(state.lastTime, decoded.value().time);
    state.orders.dropExpired(state.lastTime);
    state.claims.dropExpired(state.lastTime);
    return std::visit(
        [&](const auto& command) {
            if constexpr (requires { command.origin; })
                return state.executeOnce(command);
            else
                return state.execute(command).dump();
        },
        decoded.value().command);
}

std::string control_state::takeSnapshot() const
{
    std::string bytes;
    nlohmann::json::to_cbor(m_impl->save(), bytes);
    return bytes;
}

result<void> control_state::installSnapshot(std::string_view bytes)
{
    // nlohmann-json reports malformed input by exceptions; they end here. The old state is kept on failure.
    auto fresh = std::make_unique<impl>();
    try {
        fresh->restore(nlohmann::json::from_cbor(bytes.begin(), bytes.end()));
    } catch (const std::exception& error) {
        return failure { failure_code::corrupt, std::string("control snapshot: ") + error.what() };
    }
    fresh->deploymentChanged = std::move(m_impl->deploymentChanged);
    m_impl = std::move(fresh);
    if (m_impl->deploymentChanged)
        m_impl->deploymentChanged();
    return success();
}

void control_state::onDeploymentChanged(std::function<void()> handler)
{
    m_impl->deploymentChanged = std::move(handler);
}

std::vector<placement_command> control_state::takeCommands() { return std::exchange(m_impl->commands, {}); }

const scheduler& control_state::placement() const { return m_impl->scheduler; }

const std::vector<known_worker>& control_state::workers() const { return m_impl->workers; }

const known_worker* control_state::findWorker(const worker_id& id) const
{
    for (const auto& worker : m_impl->workers) {
        if (worker.spec.id == id)
            return &worker;
    }
    return nullptr;
}

deployment_version control_state::version() const { return m_impl->version; }

const std::optional<deployment>& control_state::current() const { return m_impl->current; }

const std::vector<deployment_record>& control_state::history() const { return m_impl->history; }

const deployment_record* control_state::findVersion(deployment_version version) const
{
    for (const auto& record : m_impl->history) {
        if (record.version == version)
            return &record;
    }
    return nullptr;
}

instant control_state::lastTime() const { return m_impl->lastTime; }

std::uint64_t control_state::digest() const
{
    const auto bytes = takeSnapshot();
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace poplardeal
