// The cases of this review that are scripts. Usage: cases NAME RECORD. Exit code 1: the rule was broken, 0: it held,
// 2: the case could not run. With TROUBLE=0 in the environment the disruption is left out.
#include "deployment.hpp"
#include <algorithm>
#include <cstdio>

using namespace review;

namespace {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int notRun = 2;

// Bounds of the pages, for a small deployment.
constexpr int finishMs = 14000; ///< `finish_s`
constexpr double recoverS = 12; ///< `recover_s`, after the loss of every machine
constexpr int idleMs = 3000; ///< "for 3 s, a job has nothing running"

bool hasTrouble()
{
    const auto* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::string idOf(std::uint64_t number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

std::string numberOf(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.1f", value);
    return text;
}

struct fixture {
    explicit fixture(const std::string& path, deployment_options options = {})
        : record(path)
        , all(record)
        , system(record, options)
    {
        record.note(hasTrouble() ? "with the disruption" : "without the disruption (TROUBLE=0)");
    }

    void expect(const std::string& job, behaviour does)
    {
        const std::lock_guard guard(all.mutex);
        all.jobs[job] = std::move(does);
    }

    /// Runner `number`, three a rack.
    void begin(int number, worker_options options = {}, std::int64_t bornMs = unixMs())
    {
        options.rack = "r1-" + std::to_string(number / 3 + 1);
        options.zone = "zone-" + std::to_string(number % 3 + 1);
        workers.push_back(std::make_unique<worker>(
            all, "i-" + std::to_string(number), system.runner(number), system.sidecar(number), options, bornMs));
    }
    void end(const std::string& id)
    {
        std::erase_if(workers, [&id](const auto& each) { return each->id() == id; });
    }
    worker& find(const std::string& id)
    {
        for (const auto& each : workers) {
            if (each->id() == id)
                return *each;
        }
        std::abort();
    }

    /// Runners, the manifest, and time for the runners to become known.
    bool start(int runners, const json& manifest)
    {
        for (int i = 0; i < runners; ++i)
            begin(i);
        const bool out = system.apply(manifest);
        pause(3000);
        return out;
    }

    /// A client that hands a job in until it is accepted, at all entries in turn.
    bool handIn(const std::string& path, const json& job, int attempts = 40)
    {
        for (int i = 0; i < attempts; ++i) {
            const auto answer = queueCall(system.front(i % system.entries()), "POST", path, job.dump());
            if (answer.status != 200) {
                pause(200);
                continue;
            }
            record.note("POST " + path + " -> 200");
            return true;
        }
        record.note("POST " + path + " was never accepted");
        return false;
    }

    std::string stateOf(const std::string& path)
    {
        for (int i = 0; i < 8; ++i) {
            const auto answer = queueCall(system.front(i % system.entries()), "GET", path);
            if (answer.status == 200)
                return json::parse(answer.body).value("state", "");
            if (answer.status == 410)
                return "410";
            pause(150);
        }
        return "no answer";
    }

    /// LOST, at the end: whether the job has nothing running for 3 s, though it isn't over. Looks every 20 ms.
    bool isLeftIdle(const std::string& path, const std::string& job)
    {
        for (int i = 0; i < idleMs / 20; ++i) {
            if (all.runningOf(job) > 0) {
                record.note("job " + job + " has a run");
                return false;
            }
            pause(20);
        }
        const auto state = stateOf(path);
        record.note("job " + job + " has had nothing running for 3 s; GET -> " + state + "; room in use: "
            + std::to_string(all.inUse()) + " accelerators of " + std::to_string(8 * static_cast<int>(workers.size())));
        return state == "queued" || state == "running";
    }

    /// Fault: "on half of the core, processes end by themselves three times in the day".
    bool hasFault()
    {
        const auto ends = system.ownEnds();
        int often = 0;
        for (const auto& name : system.names()) {
            record.note(name + ": at most " + std::to_string(system.peakMb(name)) + " MB of "
                + std::to_string(system.limitMb(name)) + " MB, ended by itself " + std::to_string(ends.at(name))
                + " times");
            often += name.starts_with("control") && ends.at(name) >= 3 ? 1 : 0;
        }
        return 2 * often >= system.controls();
    }

    recorder record;
    world all;
    deployment system;
    std::vector<std::unique_ptr<worker>> workers;
};

json taskOf(int count, int gpu, int estimateMs, json more = json::object())
{
    more["count"] = count;
    more["cpu"] = 500;
    more["mem_mb"] = 256;
    more["gpu"] = gpu;
    if (estimateMs > 0)
        more["est_ms"] = estimateMs;
    return json { { "spec", "job" }, { "steps", { more } } };
}

/// Honest clients hand jobs in, one after the other. Returns those that were accepted.
std::vector<std::string> handInHonestJobs(fixture& f, int count, std::uint64_t first)
{
    std::vector<std::string> out;
    for (int i = 0; i < count; ++i) {
        const auto job = idOf(first + static_cast<std::uint64_t>(i));
        f.expect(job, { 500, "done", 0, 1 });
        if (f.handIn("/q0/" + job, taskOf(1, 1, 500), 15))
            out.push_back(job);
        pause(300);
    }
    return out;
}

void noteHonestJobs(fixture& f, const std::vector<std::string>& jobs)
{
    for (const auto& job : jobs)
        f.record.note("honest job " + job + ", accepted: " + f.stateOf("/q0/" + job) + ", started "
            + std::to_string(f.all.startsOf(job)) + " times");
}

/// Accepted jobs of very many tasks each, from small bodies of many short fields.
int tasks(const std::string& path)
{
    deployment_options options;
    options.enforcesMemory = true;
    fixture f(path, options);
    if (!f.start(2, manifestOf(1, { 1, 2 })))
        return notRun;
    json job { { "spec", "x" } };
    for (int i = 0; i < 256; ++i)
        job["steps"].push_back({ { "count", 256 }, { "gpu", 1 } });
    const auto body = job.dump();
    for (int i = 0; i < 30 && hasTrouble(); ++i) {
        const auto name = idOf(0x9000 + static_cast<std::uint64_t>(i));
        f.expect(name, { 1000, "done", 0, 1 });
        const auto answer = queueCall(f.system.front(i % 2), "POST", "/q1/" + name, body);
        f.record.note(
            "odd client: POST of " + std::to_string(body.size()) + " bytes -> " + std::to_string(answer.status));
        pause(500);
    }
    f.record.note("the odd client has gone");
    const auto jobs = handInHonestJobs(f, 4, 0x5000);
    pause(finishMs + idleMs);
    noteHonestJobs(f, jobs);
    return f.hasFault() ? broken : jobs.size() == 4 ? held : notRun;
}

/// Bodies of legal size that are made of very many short fields.
int fields(const std::string& path)
{
    deployment_options options;
    options.enforcesMemory = true;
    fixture f(path, options);
    if (!f.start(2, manifestOf(1, { 1 })))
        return notRun;
    std::string body = R"({"spec":"x","steps":[)";
    while (body.size() < 255000)
        body += "{},";
    body.back() = ']';
    body += '}';
    std::vector<std::string> jobs;
    for (int i = 0; i < 8; ++i) {
        if (hasTrouble()) {
            const auto answer
                = queueCall(f.system.front(i % 2), "POST", "/q0/" + idOf(0x9000 + static_cast<std::uint64_t>(i)), body);
            f.record.note(
                "odd client: POST of " + std::to_string(body.size()) + " bytes -> " + std::to_string(answer.status));
        }
        for (auto& each : handInHonestJobs(f, 1, 0x5000 + static_cast<std::uint64_t>(i)))
            jobs.push_back(std::move(each));
    }
    pause(5000);
    noteHonestJobs(f, jobs);
    return f.hasFault() ? broken : jobs.size() == 8 ? held : notRun;
}

/// An object of very many fields with short names, in no order.
std::string manyFields(std::size_t bytes)
{
    const std::string letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789";
    std::vector<std::string> names;
    for (const char a : letters) {
        for (const char b : letters) {
            for (const char c : letters)
                names.push_back({ a, b, c });
        }
    }
    std::shuffle(names.begin(), names.end(), std::mt19937(1));
    std::string out = "{";
    for (std::size_t i = 0; out.size() < bytes; ++i)
        out += '"' + names[i] + "\":{},";
    out.back() = '}';
    return out;
}

/// One body over the limit that is made of very many short fields, from a client without a key.
int hang(const std::string& path)
{
    deployment_options options;
    options.enforcesMemory = true;
    fixture f(path, options);
    if (!f.start(2, manifestOf(1, { 1 })))
        return notRun;
    std::thread odd;
    if (hasTrouble()) {
        const auto body = manyFields(600000);
        odd = std::thread([&f, body] {
            const auto answer
                = call(f.system.front(0), "POST", "/no-such-path", body, { { "Host", "jobs.example" } }, 70000);
            f.record.note("odd client: POST of " + std::to_string(body.size()) + " bytes without a key -> "
                + std::to_string(answer.status));
        });
    }
    // The provider asks once a second, honest clients ask for the state of a queue.
    double answeredAt = f.record.seconds();
    double longest = 0;
    while (f.record.seconds() < 60) {
        const auto ready = call(f.system.ready(0), "GET", "/ready", {}, {}, 1000);
        const auto pending = queueCall(f.system.front(0), "GET", "/q0/", {}, 3000);
        const double now = f.record.seconds();
        if (ready.status != 0 || pending.status != 0)
            answeredAt = now;
        longest = std::max(longest, now - answeredAt);
        f.record.note("entry-0: GET /ready -> " + std::to_string(ready.status) + ", GET /q0/ -> "
            + std::to_string(pending.status));
        pause(500);
    }
    if (odd.joinable())
        odd.join();
    f.record.note("the longest time without any answer of entry-0: " + numberOf(longest) + " s");
    f.hasFault();
    return longest > recoverS ? broken : held;
}

/// A runner with a lasting task is lost for good while a wide gang waits for room.
int reserved(const std::string& path)
{
    deployment_options options;
    options.sidecars = 8;
    fixture f(path, options);
    if (!f.start(8, manifestOf(1, { 1, 2 })))
        return notRun;
    const auto service = idOf(0x6001);
    const auto busy = idOf(0x6002);
    const auto gang = idOf(0x6003);
    f.expect(service, { -1, "done", 0, 1 });
    f.expect(busy, { 100000, "done", 0, 8 });
    f.expect(gang, { 5000, "done", 7, 8 });
    if (!f.handIn("/q1/" + service, taskOf(1, 1, 3600000, { { "long_running", true } })))
        return notRun;
    pause(1500);
    if (!f.handIn("/q0/" + busy, taskOf(1, 8, 100000)))
        return notRun;
    pause(1500);
    if (!f.handIn("/q0/" + gang, taskOf(7, 8, 5000, { { "gang", true } })))
        return notRun;
    pause(2000);
    if (f.all.runningOf(service) != 1 || f.all.runningOf(busy) != 1)
        return notRun;
    if (hasTrouble())
        f.end(f.all.workerOf(service));
    // Six seconds after its last run, and the lease of the runner, are long over.
    pause(25000);
    return f.isLeftIdle("/q1/" + service, service) ? broken : held;
}

/// A gang that can never be done, as a lasting task has a part of the room that it needs.
int hopeless(const std::string& path)
{
    deployment_options options;
    options.sidecars = 4;
    fixture f(path, options);
    if (!f.start(4, manifestOf(1, { 1, 2 })))
        return notRun;
    const auto service = idOf(0x6001);
    f.expect(service, { -1, "done", 0, 1 });
    if (!f.handIn("/q1/" + service, taskOf(1, 1, 0, { { "long_running", true } })))
        return notRun;
    pause(4000);
    if (f.all.runningOf(service) != 1)
        return notRun;
    if (hasTrouble()) {
        const auto gang = idOf(0x6003);
        f.expect(gang, { 5000, "done", 4, 8 });
        if (!f.handIn("/q0/" + gang, taskOf(4, 8, 5000, { { "gang", true } })))
            return notRun;
        pause(1000);
    }
    std::vector<std::string> jobs;
    for (std::uint64_t i = 0; i < 20; ++i) {
        jobs.push_back(idOf(0x5000 + i));
        f.expect(jobs.back(), { 1000, "done", 0, 1 });
        if (!f.handIn("/q1/" + jobs.back(), taskOf(1, 1, 1000)))
            return notRun;
    }
    pause(finishMs);
    std::size_t started = 0;
    for (const auto& job : jobs)
        started += f.all.startsOf(job) > 0 ? 1 : 0;
    f.record.note("started of 20 other jobs: " + std::to_string(started));
    return f.isLeftIdle("/q1/" + jobs.back(), jobs.back()) ? broken : held;
}

/// One lasting task that fails soon after each start, beside a gang of a higher rank.
int lasting(const std::string& path)
{
    deployment_options options;
    options.sidecars = 10;
    fixture f(path, options);
    if (!f.start(10, manifestOf(1, { 1, 2 })))
        return notRun;
    for (std::uint64_t i = 0; i < 20; ++i) {
        f.expect(idOf(0x100 + i), { 300, "done", 0, 1 });
        if (!f.handIn("/q1/" + idOf(0x100 + i), taskOf(1, 1, 300)))
            return notRun;
    }
    pause(3000);
    const auto service = idOf(0x1001);
    const int failsAfter = std::getenv("FAIL_MS") ? std::atoi(std::getenv("FAIL_MS")) : 300;
    f.expect(service, { hasTrouble() ? failsAfter : -1, "failed", 0, 1 });
    if (!f.handIn("/q1/" + service, taskOf(1, 1, 60000, { { "long_running", true } })))
        return notRun;
    pause(12000);
    const auto gang = idOf(0x2001);
    f.expect(gang, { 1500, "done", 5, 5 });
    if (!f.handIn("/q0/" + gang, taskOf(5, 5, 1500, { { "gang", true } })))
        return notRun;
    pause(finishMs);
    const bool isIdle = f.isLeftIdle("/q0/" + gang, gang);
    const double since = f.record.seconds();
    for (int i = 0; i < 25 && isIdle && f.all.startsOf(gang) == 0; ++i)
        pause(1000);
    f.record.note("looked on for " + numberOf(f.record.seconds() - since) + " s: the gang was started "
        + std::to_string(f.all.startsOf(gang)) + " times, the lasting task " + std::to_string(f.all.startsOf(service))
        + " times");
    return isIdle ? broken : held;
}

/// The only runner of the rack where a job's data is leaves.
int rack(const std::string& path)
{
    deployment_options options;
    options.sidecars = 7;
    fixture f(path, options);
    if (!f.start(7, manifestOf(1, { 1 })))
        return notRun;
    if (hasTrouble()) {
        f.find("i-6").drain();
        f.record.note("runner i-6, the only one of rack r1-3, drains");
        pause(2500);
        f.find("i-6").leave();
        f.end("i-6");
    }
    pause(6000);
    const auto job = idOf(0x8001);
    f.expect(job, { 5000, "done", 0, 1 });
    if (!f.handIn("/q0/" + job, taskOf(1, 1, 600000, { { "affinity", "r1-3" } })))
        return notRun;
    pause(finishMs);
    if (f.all.startsOf(job) > 0) {
        f.record.note("the job was started");
        return held;
    }
    return f.isLeftIdle("/q0/" + job, job) ? broken : held;
}

/// The time of day of a runner's machine jumps back while the runner goes down and up by turns.
int born(const std::string& path)
{
    deployment_options options;
    options.sidecars = 8;
    fixture f(path, options);
    for (int i = 0; i < 7; ++i)
        f.begin(i);
    worker_options other;
    other.kind = "b";
    f.begin(7, other);
    if (!f.system.apply(manifestOf(1, { 1 })))
        return notRun;
    pause(3000);
    const auto flap = [&](int downMs, std::int64_t jumpMs) {
        f.end("i-7");
        pause(downMs);
        f.begin(7, other, unixMs() - jumpMs);
    };
    const std::int64_t jump = hasTrouble() ? 2000 : 0;
    flap(850, 0);
    pause(850);
    if (hasTrouble())
        f.record.note("the time of day of runner i-7's machine jumps back by 2000 ms");
    flap(850, jump);
    pause(4000);
    if (hasTrouble())
        f.record.note("the time of day of runner i-7's machine jumps ahead again");
    const auto job = idOf(0x4001);
    f.expect(job, { 1000, "done", 0, 1 });
    if (!f.handIn("/q0/" + job, taskOf(1, 1, 1000, { { "required_label", "b" } })))
        return notRun;
    pause(finishMs);
    if (f.all.runningOf(job) > 0 || f.stateOf("/q0/" + job) == "completed") {
        f.record.note("the job has run");
        return held;
    }
    return f.isLeftIdle("/q0/" + job, job) ? broken : held;
}

/// Urgent jobs come while a lasting step may miss one of its tasks.
int missing(const std::string& path)
{
    deployment_options options;
    options.sidecars = 3;
    fixture f(path, options);
    auto manifest = manifestOf(1, { 0, 2 });
    manifest["tenants"][0]["guaranteed"]["gpu"] = 16;
    if (!f.start(3, manifest))
        return notRun;
    const auto other = idOf(0xa002);
    const auto service = idOf(0xa001);
    f.expect(other, { 60000, "done", 0, 8 });
    f.expect(service, { -1, "done", 0, 8 });
    if (!f.handIn("/q1/" + other, taskOf(1, 8, 60000)))
        return notRun;
    pause(6000);
    if (!f.handIn("/q1/" + service, taskOf(2, 8, 600000, { { "long_running", true }, { "may_miss", 1 } })))
        return notRun;
    pause(6000);
    if (f.all.runningOf(service) != 2 || f.all.runningOf(other) != 1)
        return notRun;
    if (hasTrouble()) {
        const auto urgent = idOf(0xa003);
        f.expect(urgent, { 2500, "done", 2, 8 });
        if (!f.handIn("/q0/" + urgent, taskOf(2, 8, 2500, { { "gang", true } })))
            return notRun;
    }
    bool isBroken = false;
    for (int i = 0; i < 400 && !isBroken; ++i) {
        isBroken = f.all.runningOf(service) == 0;
        pause(10);
    }
    if (isBroken)
        f.record.note("both tasks of the step were stopped; one may be away");
    return isBroken ? broken : held;
}

} // namespace

int main(int argc, char** argv)
{
    const std::map<std::string, int (*)(const std::string&)> all { { "tasks", tasks }, { "fields", fields },
        { "hang", hang }, { "reserved", reserved }, { "hopeless", hopeless }, { "lasting", lasting }, { "rack", rack },
        { "born", born }, { "missing", missing } };
    const auto found = argc == 3 ? all.find(argv[1]) : all.end();
    return found == all.end() ? notRun : found->second(argv[2]);
}
