// A client hands in one job of 617 bytes, accepted by the project's own limits, whose many tasks need next to
// nothing. They fit into the runners' room at once; the controls go over their memory, again after each restart, and
// what a sound client has handed in is neither run nor answered.
#include "../standin-3/cluster.hpp"

using namespace standin;

int main(int argc, char** argv)
{
    beginScript(argc, argv);
    const bool isTroubled = hasTrouble();
    cluster deployment({ 3, 2, 8 });
    const watcher platform(deployment);
    if (!isServing(deployment, manifest(1, { "key-wide", "key-a" })))
        return 2;

    // A sound client has handed in four jobs that wait for their time, 30 s from now.
    client tenant(deployment, "key-a");
    std::vector<std::string> accepted;
    for (unsigned i = 0; i < 4; ++i) {
        auto later = job(200, { step(1, 1, 200) });
        later["times"] = 1;
        later["initial_delay_ms"] = unixMs() + 30000;
        later["interval_ms"] = 1000;
        if (tenant.submit("book", jobId(0x1000 + i), later) != 200)
            return 2;
        accepted.push_back(jobId(0x1000 + i));
    }

    // One job of another tenant, once: 16 steps of 4,096 tasks of 2 s. They fit into the room of the runners (768
    // cores) ten times over. Without the disruption, each step has one task.
    client wide(deployment, "key-wide");
    const json tiny { { "count", isTroubled ? 4096 : 1 }, { "cpu", 1 }, { "est_ms", 2000 } };
    const auto body = job(2000, std::vector<json>(16, tiny));
    record.line("script the job has %zu bytes", body.dump().size());
    if (wide.submit("settle", jobId(0x200000U), body) != 200)
        return 2;

    // The sound client hands in one job a second, again after each answer that asks for it.
    unsigned refused = 0;
    const auto trafficEnd = sinceStartMs() + 40000;
    for (unsigned i = 0; sinceStartMs() < trafficEnd; ++i) {
        if (tenant.submit("book", jobId(i), job(200, { step(1, 1, 200) }), 4) == 200)
            accepted.push_back(jobId(i));
        else
            ++refused;
        sleepMs(700);
    }
    record.line("script the traffic has ended: %zu jobs accepted, %u not", accepted.size(), refused);
    sleepMs(14000); // `finish_s`
    unsigned lost = 0;
    const auto until = sinceStartMs() + 25000;
    std::size_t asked = 0;
    for (; asked < accepted.size() && sinceStartMs() < until; ++asked)
        lost += tenant.ask("book", accepted[asked], 5000) == "completed" ? 0 : 1;
    return finish(lost > 0 || deployment.killedOften() >= 2,
        std::to_string(accepted.size()) + " jobs of the sound client accepted, " + std::to_string(refused)
            + " not within four tries; of " + std::to_string(asked) + " asked for 14 s after the traffic "
            + std::to_string(lost) + " got no answer or were not run; kills over the memory:" + deployment.kills());
}
