#include "soak.h"
#include "metric_text.h"
#include <algorithm>
#include <csignal>
#include <iomanip>
#include <sstream>

namespace poplardeal::soak {

namespace {

    constexpr duration callTimeout = std::chrono::milliseconds(3000);
    constexpr duration operatorTimeout = std::chrono::milliseconds(1000); ///< As on the platform.
    constexpr duration retryPause = std::chrono::milliseconds(150);
    constexpr duration pollInterval = std::chrono::milliseconds(300);
    constexpr duration submitInterval = std::chrono::milliseconds(120);
    constexpr duration planInterval = std::chrono::milliseconds(700);
    constexpr duration readInterval = std::chrono::milliseconds(400);
    constexpr duration orderInterval = std::chrono::milliseconds(4000);
    constexpr duration diskLossGap = std::chrono::seconds(5);
    /// Far beyond the time that any job needs; only ends a soak in which one is stuck.
    constexpr duration finishLimit = std::chrono::seconds(120);
    constexpr int orderAttempts = 30;
    constexpr duration quietInterval = std::chrono::milliseconds(100);
    constexpr duration shareInterval = std::chrono::milliseconds(5);
    constexpr std::size_t longestChain = 3; ///< Steps of a job.
    constexpr std::uint64_t workerSeed = 0x9e3779b97f4a7c15U;
    constexpr std::uint64_t diskSeed = 0xbf58476d1ce4e5b9U;
    // As on the platform.
    constexpr duration catchUpTime = std::chrono::seconds(4);
    constexpr duration graceTime = std::chrono::seconds(4);
    constexpr duration recoveryTime = std::chrono::seconds(12);
    constexpr duration finishTime = std::chrono::seconds(14);
    constexpr duration longestEndAbsence = std::chrono::milliseconds(1500);
    constexpr duration lookUpLimit = std::chrono::seconds(12); ///< For four attempts of a client.

} // namespace

/// One job and its client.
struct soak::caller {
    std::string id;
    std::string body;
    bool willCancel { false };
    bool isOver { false };
};

soak::soak(event_loop& loop, const soak_options& options)
    : m_loop(loop)
    , m_options(options)
    , m_random(options.seed)
    , m_extraRandom(~options.seed)
    , m_diskRandom(options.seed ^ diskSeed)
    , m_workerRandom(options.seed ^ workerSeed)
    , m_cluster(options.size, options.daemon, options.folder, options.controlDaemon, options.seed)
    , m_client(loop, 64)
    , m_begun(loop.now())
{
    for (std::size_t i = 0; i < m_cluster.sidecars().size(); ++i) {
        worker_place place { "w" + std::to_string(i), i % 2 == 0 ? "east" : "west", "r" + std::to_string(i % 2),
            m_cluster.workerAddress(i), m_cluster.announcedWorkerAddress(i), m_cluster.sidecarAddress(i) };
        m_workers.push_back(std::make_unique<standin_worker>(loop, place, m_promises, options.seed * 100 + i));
    }
}

void soak::note(const std::string& what)
{
    std::ostringstream line;
    line << std::fixed << std::setprecision(3) << std::chrono::duration<double>(m_loop.now() - m_begun).count() << " s "
         << what;
    m_faults.push_back(line.str());
}

void soak::later(duration wait, std::function<void()> action)
{
    m_timers.push_back(m_loop.after(wait, std::move(action)));
}

void soak::submitOne()
{
    if (m_isHealing || m_plansAcknowledged == 0)
        return;
    auto job = std::make_shared<caller>();
    std::ostringstream id;
    id << std::hex << std::setw(16) << std::setfill('0') << (m_options.seed << 32 | ++m_jobs);
    job->id = id.str();
    std::vector<std::uint32_t> steps { static_cast<std::uint32_t>(between(1, 4)) };
    while (m_jobs % 3 == 0 && steps.size() < longestChain)
        steps.push_back(steps.back());
    const auto payload = "payload of " + job->id;
    nlohmann::json body { { "spec", payload } };
    for (std::size_t i = 0; i < steps.size(); ++i) {
        body["steps"].push_back(
            { { "count", steps[i] }, { "cpu", 500 }, { "mem_mb", 100 }, { "gpu", 1 }, { "est_ms", 700 } });
        if (i > 0)
            body["steps"].back()["after"] = { i - 1 };
    }
    job->body = body.dump();
    job->willCancel = chance(0.1);
    m_promises.sent(job->id, payload, steps);
    attempt(job);
}

void soak::attempt(const std::shared_ptr<caller>& job)
{
    const auto entry = static_cast<std::size_t>(between(0, static_cast<int>(m_cluster.entries().size()) - 1));
    http_request request { "POST", "/q/" + job->id, "",
        { { "authorization", "Bearer k" }, { "content-type", "application/json" } }, job->body };
    m_client.send(
        m_cluster.frontAddress(entry), request, callTimeout, connection_use::kept, [this, job](const http_result& out) {
            const int status = out.has_value() ? out.value().status : 0;
            if (status == 200) {
                m_callers.push_back(job);
                m_promises.accepted(job->id, m_loop.now());
                if (job->willCancel)
                    later(someTime(0, 1500), [this, job] { cancel(job); });
                return poll(job);
            }
            const bool isRejected = status == 503 || status == 429;
            if (!isRejected)
                m_promises.unclear(job->id);
            // A client that was always rejected may give up; one without a clear answer sends the same again.
            if (isRejected && chance(0.2))
                return m_promises.gaveUp(job->id);
            later(retryPause, [this, job] { attempt(job); });
        });
}

/// Whether the answer tells the state of the job, or that it is not known.
bool soak::showAnswer(const std::shared_ptr<caller>& job, const http_result& out)
{
    if (!out.has_value())
        return false;
    const auto body = nlohmann::json::parse(out.value().body, nullptr, false);
    const auto state = body.is_object() ? body.value("state", std::string()) : std::string();
    m_promises.shown(job->id, out.value().status, state);
    job->isOver = state == "completed" || state == "cancelled" || state == "failed";
    return out.value().status == 200 || out.value().status == 410;
}

void soak::poll(const std::shared_ptr<caller>& job)
{
    if (job->isOver)
        return;
    const auto entry = static_cast<std::size_t>(between(0, static_cast<int>(m_cluster.entries().size()) - 1));
    http_request request { "GET", "/q/" + job->id, "", { { "authorization", "Bearer k" } }, "" };
    m_client.send(
        m_cluster.frontAddress(entry), request, callTimeout, connection_use::kept, [this, job](const http_result& out) {
            showAnswer(job, out);
            later(pollInterval, [this, job] { poll(job); });
        });
}

void soak::cancel(const std::shared_ptr<caller>& job)
{
    if (job->isOver)
        return;
    m_promises.cancelAsked(job->id);
    http_request request { "DELETE", "/q/" + job->id, "", { { "authorization", "Bearer k" } }, "" };
    m_client.send(
        m_cluster.frontAddress(0), request, callTimeout, connection_use::kept, [this, job](const http_result& out) {
            const int status = out.has_value() ? out.value().status : 0;
            if (status == 200 || status == 410)
                return m_promises.cancelled(job->id, m_loop.now());
            later(retryPause, [this, job] { cancel(job); });
        });
}

void soak::putPlan()
{
    if (!m_isHealing)
        sendPlan(m_plan += static_cast<std::uint64_t>(between(1, 3)), orderAttempts);
}

void soak::sendPlan(std::uint64_t version, int attemptsLeft)
{
    nlohmann::json body { { "version", version },
        { "services", { { { "name", "desk" }, { "enforces_capacity", true } } } },
        { "tenants", { { { "name", "t" }, { "api_keys", { "k" } } } } } };
    for (const auto& entry : m_cluster.entries())
        body["routes"].push_back({ { "name", entry.name }, { "host", entry.advertisedIp }, { "path_prefix", "/q/" },
            { "timeout_ms", 3000 }, { "priority", 1 }, { "service", "desk" }, { "attempts", 50 }, { "stretch", 3 } });
    http_request request { "PUT", "/config", "", { { "content-type", "application/json" } }, body.dump() };
    m_client.send(m_cluster.operatorAddress(anyControl()), request, operatorTimeout,
        [this, version, attemptsLeft](const http_result& out) {
            const int status = out.has_value() ? out.value().status : 0;
            if (status == 200) {
                ++m_plansAcknowledged;
                return m_promises.planAcknowledged(version, m_loop.now());
            }
            if (attemptsLeft > 0)
                later(retryPause, [this, version, attemptsLeft] { sendPlan(version, attemptsLeft - 1); });
        });
}

void soak::readPlan()
{
    const auto& control = anyControl();
    m_client.send(m_cluster.operatorAddress(control), { "GET", "/config", "", {}, "" }, operatorTimeout,
        [this, name = control.name, asked = m_loop.now()](const http_result& out) {
            if (!out.has_value() || out.value().status != 200)
                return;
            const auto version = nlohmann::json::parse(out.value().body).value("version", std::uint64_t(0));
            m_promises.planRead(version, asked);
            if (m_isHealing && version >= m_promises.plan())
                m_currentPlanAt.insert(name);
        });
}

/// One order at a time, as one operator gives them: out, and back in some seconds later.
void soak::orderDataCentre()
{
    if (m_isHealing || std::exchange(m_isOrderUnderWay, true))
        return;
    note("data centre west is taken out");
    sendOrder("POST", orderAttempts);
}

void soak::sendOrder(const std::string& method, int attemptsLeft)
{
    if (method == "DELETE")
        m_promises.dataCentreIn("west");
    m_client.send(m_cluster.operatorAddress(anyControl()), { method, "/evacuate/west", "", {}, "" }, operatorTimeout,
        [this, method, attemptsLeft](const http_result& out) {
            const int status = out.has_value() ? out.value().status : 0;
            const bool isTaken = status == 200;
            if (isTaken && method == "DELETE") {
                m_isOrderUnderWay = false;
                return;
            }
            if (isTaken) {
                m_promises.dataCentreOut("west", m_loop.now());
                return later(someTime(500, 9000), [this] { sendOrder("DELETE", orderAttempts); });
            }
            if (method == "POST" && attemptsLeft == 0)
                return later(retryPause, [this] { sendOrder("DELETE", orderAttempts); });
            later(retryPause, [this, method, attemptsLeft] { sendOrder(method, std::max(attemptsLeft - 1, 0)); });
        });
}

void soak::startLater(member& each, int leastMs, int mostMs)
{
    later(someTime(leastMs, mostMs), [&each] { each.start(); });
}

void soak::failProcess()
{
    auto members = m_cluster.all();
    auto& each = *oneOf(members);
    auto* process = each.process.get();
    switch (between(0, 3)) {
    case 0:
        note("kill " + each.name);
        each.kill();
        return startLater(each, 50, 2500);
    case 1:
        note("stop and continue " + each.name);
        process->signal(SIGSTOP);
        return later(someTime(100, 3500), [process] { process->signal(SIGCONT); });
    case 2:
        note("terminate " + each.name);
        each.signal(SIGTERM);
        return later(someTime(4500, 6500), [&each] {
            each.kill();
            each.start();
        });
    default:
        note("reload " + each.name);
        each.signal(SIGHUP);
    }
}

member& soak::anyControl()
{
    auto controls = m_cluster.controls();
    return *oneOf(controls);
}

bool soak::mayLoseDisk()
{
    const auto isPast = m_loop.now() - m_diskLostAt > diskLossGap;
    return !m_areTwoLossesDue && isPast && m_cluster.controls().size() >= 3 && isEveryDiskBack();
}

bool soak::isEveryDiskBack()
{
    const auto controls = m_cluster.controls();
    return m_plansAcknowledged > 0 && m_loop.now() >= m_nextLossAt
        && std::all_of(controls.begin(), controls.end(), [](const member* each) { return each->mayVote(); });
}

void soak::failControl()
{
    auto& each = anyControl();
    if (mayLoseDisk() && chance(0.3)) {
        note("kill " + each.name + " and empty its disk");
        m_diskLostAt = m_loop.now();
        each.loseDisk();
        return startLater(each, 50, 1500);
    }
    if (chance(0.15)) {
        note("kill all controls");
        for (auto* other : m_cluster.controls()) {
            other->kill();
            startLater(*other, 50, 1500);
        }
        return;
    }
    note("kill " + each.name + " twice");
    each.kill();
    startLater(each, 50, 400);
    later(someTime(450, 900), [&each] {
        each.kill();
        each.start();
    });
}

void soak::losePower()
{
    auto& each = anyControl();
    switch (between(0, 5)) {
    case 0:
        return endInWrite(each, true);
    case 1:
        return losePowerOfAll(mayLoseDisk() && chance(0.5) ? &each : nullptr);
    case 2:
    case 3:
        return losePowerAfterKill(each);
    default:
        for (auto* other : m_cluster.controls())
            endInWrite(*other, chance(0.3));
        later(someTime(700, 2500), [this, &each] { losePowerOfAll(mayLoseDisk() && chance(0.5) ? &each : nullptr); });
    }
}

void soak::endInWrite(member& each, bool losesPower)
{
    each.disk->update();
    if (m_isHealing || each.isRetired)
        return;
    if (each.process->isRunning() && !each.disk->hasUnsynced())
        return later(std::chrono::milliseconds(1), [this, &each, losesPower] { endInWrite(each, losesPower); });
    note((losesPower ? "power loss of " : "kill ") + each.name + " in a write");
    losesPower ? each.losePower(m_random) : each.kill();
    startLater(each, 1, 400);
}

void soak::losePowerAfterKill(member& each)
{
    endInWrite(each, false);
    later(someTime(500, 2500), [this, &each] {
        note("power loss of " + each.name + " after a kill");
        each.losePower(m_random);
        startLater(each, 50, 1500);
    });
}

void soak::losePowerOfAll(const member* diskLoser)
{
    const bool isEverywhere = chance(0.5);
    note(std::string("power loss of all ") + (isEverywhere ? "machines" : "controls")
        + (diskLoser != nullptr ? ", and loss of the disk of " + diskLoser->name : ""));
    for (auto* each : m_cluster.all()) {
        if (!each->disk && !isEverywhere)
            continue;
        if (each == diskLoser) {
            m_diskLostAt = m_loop.now();
            each->loseDisk();
        } else {
            each->losePower(m_random);
        }
        startLater(*each, 50, 2000);
    }
    for (const auto& worker : m_workers) {
        if (isEverywhere)
            worker->crash(chance(0.5));
    }
}

/// Another control takes the place of one that is gone for good, before or after it ends. Then perhaps, at the first
/// moment at which that is allowed, the disk of another one is lost.
void soak::replaceControl()
{
    if (!mayLoseDisk() || !m_cluster.hasSpare())
        return;
    auto controls = m_cluster.controls();
    auto* old = controls[extraBetween(0, static_cast<int>(controls.size()) - 1)];
    const bool isPlanned = extraBetween(0, 1) == 0;
    const bool isTold = extraBetween(0, 1) == 0;
    const bool losesDisk = extraBetween(0, 2) > 0;
    note("replace " + old->name + (isPlanned ? ", the new one first" : ", the new one later")
        + (isTold ? ", SIGTERM" : ", SIGKILL"));
    const auto loseAnother = [this, losesDisk] {
        if (losesDisk && !m_isHealing)
            loseAnyDisk();
    };
    // Nothing else may lose a disk meanwhile.
    m_nextLossAt = m_loop.now() + catchUpTime * 2 + graceTime;
    if (isPlanned) {
        m_cluster.startSpare();
        return later(catchUpTime, [this, old, isTold, loseAnother] { endForGood(*old, isTold, loseAnother); });
    }
    endForGood(*old, isTold, [this, loseAnother] {
        later(std::chrono::milliseconds(1000), [this, loseAnother] {
            m_cluster.startSpare();
            later(catchUpTime, loseAnother);
        });
    });
}

void soak::endForGood(member& control, bool isTold, const std::function<void()>& then)
{
    if (isTold)
        control.signal(SIGTERM);
    waitForEnd(control, m_loop.now() + (isTold ? graceTime : duration(0)), then);
}

void soak::waitForEnd(member& control, instant deadline, const std::function<void()>& then)
{
    if (control.process->isRunning() && m_loop.now() < deadline)
        return later(
            std::chrono::milliseconds(20), [this, &control, deadline, then] { waitForEnd(control, deadline, then); });
    m_cluster.retire(control);
    then();
}

void soak::loseAnyDisk()
{
    auto controls = m_cluster.controls();
    const auto isWhole = [](const member* each) { return each->mayVote(); };
    if (!std::all_of(controls.begin(), controls.end(), isWhole))
        return;
    auto* each = controls[extraBetween(0, static_cast<int>(controls.size()) - 1)];
    note("kill " + each->name + " and empty its disk after a replacement");
    m_diskLostAt = m_loop.now();
    each->loseDisk();
    later(std::chrono::milliseconds(1000), [each] { each->start(); });
}

/// Fills one disk, some or all of them for up to 4 s. A disk may be full while its process starts.
void soak::fillDisks()
{
    if (m_isHealing)
        return;
    const auto drawn
        = [this](int least, int most) { return std::uniform_int_distribution<int>(least, most)(m_diskRandom); };
    auto controls = m_cluster.controls();
    std::shuffle(controls.begin(), controls.end(), m_diskRandom);
    controls.resize(static_cast<std::size_t>(drawn(1, static_cast<int>(controls.size()))));
    for (auto* each : controls) {
        note("the disk of " + each->name + " is full");
        each->setDiskFull(true);
        later(std::chrono::milliseconds(drawn(200, 4000)), [each] { each->setDiskFull(false); });
    }
    later(std::chrono::milliseconds(drawn(1000, 6000)), [this] { fillDisks(); });
}

void soak::injectExtra()
{
    if (m_isHealing)
        return;
    if (m_loop.now() < m_quietUntil)
        return later(quietInterval, [this] { injectExtra(); });
    if (extraBetween(0, 2) == 0) {
        replaceControl();
    } else {
        note("silence all connections");
        m_cluster.silenceAll();
    }
    later(std::chrono::milliseconds(extraBetween(1500, 6000)), [this] { injectExtra(); });
}

/// The word that a worker ends may be late, and a worker that answers nobody may go on or have ended.
void soak::injectWorkerFault()
{
    if (m_isHealing)
        return;
    const auto index = m_workerRandom() % m_workers.size();
    auto* worker = m_workers[index].get();
    const auto name = "worker " + std::to_string(index);
    const auto silence = workerTime(500, 2500);
    const auto wait = workerTime(300, 3000);
    const auto beSilent = [this, worker, silence] {
        worker->setSilent(true);
        later(silence, [worker] { worker->setSilent(false); });
    };
    switch (m_workerRandom() % 3) {
    case 0:
        note(name + " is silent");
        beSilent();
        break;
    case 1: {
        const bool isSilent = m_workerRandom() % 2 == 0;
        note(name + " crashes, and its word that it ends comes late" + (isSilent ? ", before a silence" : ""));
        worker->crash(true);
        later(wait, [worker, id = worker->id(), isSilent, beSilent] {
            worker->sendDeparture(id);
            if (isSilent)
                beSilent();
        });
        break;
    }
    default:
        note(name + " drains and leaves for some time");
        worker->setDraining(true);
        later(std::chrono::milliseconds(1500), [this, worker, wait] {
            worker->sendDeparture(worker->id());
            worker->goDown();
            later(wait, [worker] { worker->crash(false); });
        });
    }
    later(workerTime(300, 2500), [this] { injectWorkerFault(); });
}

/// As the platform's days end: right after an acknowledged plan, as many controls as may be lost lose their disks, and
/// perhaps all other machines lose power.
void soak::loseAtTheEnd()
{
    auto controls = m_cluster.controls();
    std::shuffle(controls.begin(), controls.end(), m_extraRandom);
    const auto losses = m_options.size.toleratedLosses();
    const bool losesPower = extraBetween(0, 1) == 0;
    std::string names;
    for (std::size_t i = 0; i < losses; ++i) {
        names += " " + controls[i]->name;
        controls[i]->loseDisk();
    }
    note("at the end, loss of the disks of" + names + (losesPower ? ", loss of power of all others" : ""));
    for (auto* each : losesPower ? m_cluster.all() : controls) {
        const bool hasLostDisk
            = std::find(controls.begin(), controls.begin() + static_cast<std::ptrdiff_t>(losses), each)
            != controls.begin() + static_cast<std::ptrdiff_t>(losses);
        if (losesPower && !hasLostDisk)
            each->losePower(m_random);
        if (losesPower || hasLostDisk)
            startLater(*each, 500, static_cast<int>(longestEndAbsence / std::chrono::milliseconds(1)));
    }
}

void soak::failLink()
{
    std::vector<member*> reached;
    for (auto* each : m_cluster.all()) {
        if (!each->proxies.empty())
            reached.push_back(each);
    }
    auto* each = oneOf(reached);
    constexpr std::array modes { link_mode::delay, link_mode::hold, link_mode::hold_requests, link_mode::hold_answers };
    const auto kind = between(0, 5);
    if (kind < 4) {
        note("links to " + each->name + ": mode " + std::to_string(kind + 1));
        each->setMode(modes[static_cast<std::size_t>(kind)]);
        return later(someTime(200, 4000), [each] { each->setMode(link_mode::pass); });
    }
    note(std::string(kind == 4 ? "reset" : "silence") + " connections to " + each->name);
    for (const auto& proxy : each->proxies)
        kind == 4 ? proxy->reset() : proxy->silence();
}

void soak::failWorker()
{
    const auto index = static_cast<std::size_t>(between(0, static_cast<int>(m_workers.size()) - 1));
    auto* worker = m_workers[index].get();
    switch (between(0, 2)) {
    case 0:
        note("worker " + std::to_string(index) + " crashes");
        return worker->crash(chance(0.5));
    case 1:
        note("worker " + std::to_string(index) + " loses orders");
        worker->loseOrders(0.5);
        return later(someTime(500, 4000), [worker] { worker->loseOrders(0); });
    default:
        note("worker " + std::to_string(index) + " drains and leaves");
        worker->setDraining(true);
        later(std::chrono::milliseconds(1500), [worker] {
            worker->sendDeparture(worker->id());
            worker->crash(false);
        });
    }
}

void soak::injectOne()
{
    if (m_isHealing)
        return;
    if (m_loop.now() < m_quietUntil)
        return later(quietInterval, [this] { injectOne(); });
    switch (between(0, 4)) {
    case 0:
        failProcess();
        break;
    case 1:
        failControl();
        break;
    case 2:
        failLink();
        break;
    case 3:
        losePower();
        break;
    default:
        failWorker();
    }
    later(chance(0.2) ? duration(0) : someTime(100, 1200), [this] { injectOne(); });
}

void soak::heal()
{
    note("heal");
    m_isHealing = true;
    for (auto* each : m_cluster.all()) {
        each->setMode(link_mode::pass);
        each->process->signal(SIGCONT);
    }
    for (const auto& worker : m_workers) {
        worker->loseOrders(0);
        worker->setSilent(false);
    }
    for (auto* each : m_cluster.controls()) {
        each->setDiskFull(false);
        each->isAbsent = false;
    }
}

void soak::wait(duration limit, const std::function<bool()>& until)
{
    const auto begun = m_loop.now();
    const auto check = m_loop.every(std::chrono::milliseconds(20), [&] {
        if (until() || m_loop.now() - begun > limit)
            m_loop.quit();
    });
    m_loop.run();
}

bool soak::isWholeRunning()
{
    const auto all = m_cluster.all();
    return std::all_of(all.begin(), all.end(), [](const member* each) { return each->process->isRunning(); });
}

void soak::lookUp(const std::shared_ptr<caller>& job, std::size_t attempt)
{
    http_request request { "GET", "/q/" + job->id, "", { { "authorization", "Bearer k" } }, "" };
    const auto entry = (m_lookUpEntry + attempt) % m_cluster.entries().size();
    m_client.send(m_cluster.frontAddress(entry), request, callTimeout, connection_use::kept,
        [this, job, attempt](const http_result& out) {
            if (showAnswer(job, out))
                ++m_lookedUp;
            else
                later(retryPause, [this, job, attempt] { lookUp(job, attempt + 1); });
        });
}

void soak::readGroup()
{
    const auto send = [this](const member* each) {
        m_client.send(m_cluster.metricsAddress(*each), { "GET", "/metrics", "", {}, "" }, operatorTimeout,
            [this, name = each->name](const http_result& out) {
                if (!out.has_value() || out.value().status != 200)
                    return;
                const auto& text = out.value().body;
                if (readMetric(text, "poplardeal_control_may_vote") == 1.0)
                    m_votingControls.insert(name);
                else
                    m_votingControls.erase(name);
                if (readMetric(text, "poplardeal_control_leads") == 1.0)
                    m_quorumMargin = readMetric(text, "poplardeal_control_quorum_margin");
            });
    };
    for (const auto* each : m_cluster.controls())
        send(each);
}

bool soak::isGroupWhole()
{
    const auto controls = m_cluster.controls();
    const auto needed = static_cast<double>(neededMargin(controls.size(), m_options.size.toleratedLosses()));
    return m_quorumMargin.has_value() && *m_quorumMargin >= needed
        && std::all_of(controls.begin(), controls.end(),
            [this](const member* each) { return m_votingControls.contains(each->name) && each->mayVote(); });
}

void soak::checkGroup(const std::string& when, instant deadline)
{
    m_votingControls.clear();
    m_quorumMargin.reset();
    const auto reads = m_loop.every(std::chrono::milliseconds(100), [this] { readGroup(); });
    wait(deadline - m_loop.now(), [this] { return isGroupWhole(); });
    if (isGroupWhole())
        return;
    for (const auto* each : m_cluster.controls()) {
        if (!m_votingControls.contains(each->name) || !each->mayVote())
            m_groupFaults.push_back(each->name + " may not vote " + when);
    }
    const auto margin = m_quorumMargin ? std::to_string(*m_quorumMargin) : "no leader";
    m_groupFaults.push_back("the group does not bear the losses of its deployment " + when + "; margin: " + margin);
}

void soak::checkEnd(soak_report& out)
{
    for (const auto& job : m_callers) {
        ++m_lookUpEntry;
        lookUp(job, 0);
    }
    wait(lookUpLimit, [this] { return m_lookedUp == m_callers.size() || !isWholeRunning(); });
    out.broken = m_promises.broken();
    out.broken.insert(out.broken.end(), m_groupFaults.begin(), m_groupFaults.end());
    const auto check = [&](bool isKept, const std::string& what) {
        if (!isKept)
            out.broken.push_back(what);
    };
    const auto due = m_callers.size() - m_lookedUp;
    check(due == 0, std::to_string(due) + " accepted jobs got no answer after healing, when all were asked for");
    for (const auto& job : m_promises.openJobs())
        check(false, "job " + job + " was accepted and is not completed after healing");
    const auto plan = std::to_string(m_promises.plan());
    for (auto* each : m_cluster.controls()) {
        check(m_currentPlanAt.contains(each->name), each->name + " did not show plan " + plan + " after healing");
        each->kill();
        check(each->diskFault.empty(), "the record of " + each->name + " is wrong: " + each->diskFault);
    }
    for (auto* each : m_cluster.all())
        check(each->process->ownEnds() == 0, each->name + " ended by itself");
}

soak_report soak::run()
{
    m_cluster.start();
    event_loop::timer shares;
    if (m_options.size.isLimited)
        shares = m_loop.every(shareInterval, [this] { m_cluster.enforceShares(m_loop.now()); });
    m_begun = m_loop.now();
    putPlan();
    wait(finishLimit, [this] { return m_plansAcknowledged > 0; });
    const auto submits = m_loop.every(submitInterval, [this] { submitOne(); });
    const auto plans = m_loop.every(planInterval, [this] { putPlan(); });
    const auto reads = m_loop.every(readInterval, [this] { readPlan(); });
    const auto orders = m_loop.every(orderInterval, [this] { orderDataCentre(); });
    later(std::chrono::milliseconds(500), [this] { injectOne(); });
    if (m_options.hasFullDisks)
        later(std::chrono::milliseconds(1500), [this] { fillDisks(); });
    if (m_options.hasExtraFaults) {
        later(std::chrono::milliseconds(2000), [this] { injectExtra(); });
        later(std::chrono::milliseconds(1000), [this] { injectWorkerFault(); });
        if (m_options.size.toleratedLosses() == 2) {
            m_areTwoLossesDue = true;
            later(extraTime(500, 3000), [this] { injectTwoLosses(); });
        }
    }
    wait(m_options.faults, [] { return false; });
    heal();
    // Processes that were told to end restart by their own timers within this time.
    wait(std::chrono::seconds(7), [] { return false; });
    for (auto* each : m_cluster.all())
        each->start();
    const auto allStartedAt = m_loop.now();
    checkGroup("after healing", allStartedAt + m_options.size.catchUpTime());
    if (m_options.hasExtraFaults) {
        waitUntil(allStartedAt + catchUpTime * 2 + graceTime);
        const auto before = m_plansAcknowledged;
        sendPlan(++m_plan, orderAttempts);
        wait(finishLimit, [this, before] { return m_plansAcknowledged > before; });
        m_currentPlanAt.clear();
        loseAtTheEnd();
        const auto allBackAt = m_loop.now() + longestEndAbsence;
        checkGroup("after the loss at the end", allBackAt + m_options.size.catchUpTime());
        waitUntil(allBackAt + recoveryTime);
    }
    const auto calmSince = m_loop.now() + (m_options.hasExtraFaults ? duration(0) : finishTime);
    const auto idle = m_loop.every(
        std::chrono::milliseconds(100), [this, calmSince] { m_promises.checkIdleJobs(calmSince, m_loop.now()); });
    wait(finishLimit, [this] {
        const bool isDone = m_promises.openJobs().empty() && !m_isOrderUnderWay
            && m_currentPlanAt.size() == m_cluster.controls().size();
        return isDone || !isWholeRunning();
    });
    soak_report out;
    checkEnd(out);
    out.faults = m_faults;
    out.accepted = m_promises.acceptedCount();
    out.starts = m_promises.startCount();
    out.plans = m_plansAcknowledged;
    return out;
}

} // namespace poplardeal::soak
