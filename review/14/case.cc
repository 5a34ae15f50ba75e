// One of nine runners crashes. Jobs that were given to it before the system noticed wait for seconds, and are missing
// from the count of jobs for which no task has started.
#include "../standin-3/cluster.hpp"

using namespace standin;

int main(int argc, char** argv)
{
    beginScript(argc, argv);
    const bool isTroubled = hasTrouble();
    cluster deployment({ 3, 3, 8 });
    const watcher platform(deployment);
    if (!isServing(deployment, manifest(1, { "key-a" })))
        return 2;
    sleepMs(4000);
    if (isTroubled)
        deployment.runners[0]->crash();

    // 72 jobs of one task fill the nine runners once.
    client tenant(deployment, "key-a");
    std::map<std::string, std::int64_t> acceptedAt;
    for (unsigned i = 0; i < 72; ++i) {
        if (tenant.submit("audit", jobId(i), job(2500, { step(1, 1, 2500) }), 1) == 200)
            acceptedAt[jobId(i)] = sinceStartMs();
    }
    if (acceptedAt.size() < 60)
        return 2;

    // Accepted over `visible_ms` + 2 s before the call and not begun; a job that begins during the call is left out.
    const auto waiting = [&](std::int64_t sentAt) {
        std::set<std::string> out;
        for (const auto& [id, at] : acceptedAt)
            if (sentAt - at > 5000 && !deployment.ledger.hasBegun(id))
                out.insert(id);
        return out;
    };
    unsigned wrong = 0;
    unsigned asked = 0;
    std::size_t most = 0;
    const auto end = sinceStartMs() + 16000;
    for (std::size_t i = 0; sinceStartMs() < end; ++i, sleepMs(300)) {
        const auto sentAt = sinceStartMs();
        const auto answer = tenant.call(i % 3, "GET", "/audit/");
        const auto due = waiting(sentAt).size();
        if (!answer || answer->status != 200)
            continue;
        const auto pending = json::parse(answer->body).value("pending", std::size_t(0));
        ++asked;
        record.line("client GET /audit/ at entry %zu -> pending %zu; accepted over 5 s before and not begun: %zu",
            i % 3, pending, due);
        if (2 * pending < due) {
            ++wrong;
            most = std::max(most, due);
        }
    }
    unsigned completed = 0;
    for (const auto& [id, at] : acceptedAt)
        completed += tenant.ask("audit", id, 5000) == "completed" ? 1 : 0;
    record.line("script %u of %zu jobs are completed at the end", completed, acceptedAt.size());
    return finish(wrong > 0,
        std::to_string(wrong) + " of " + std::to_string(asked)
            + " answers gave under half of the jobs that had not begun; up to " + std::to_string(most)
            + " were missing");
}
