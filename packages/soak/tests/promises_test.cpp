#include "promises.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>

using namespace poplardeal;
using namespace poplardeal::soak;

namespace {

instant at(std::int64_t ms) { return instantFromMicros(ms * 1000); }

const std::string job = "00000000000000aa";
const std::string taskA = job + ".0.0.0";
const std::string taskB = job + ".0.0.1";
const std::string taskC = job + ".0.1.0"; ///< Of the second step.

struct promise_row {
    std::string name;
    std::function<void(promises&)> events;
    std::size_t broken;
};
std::ostream& operator<<(std::ostream& out, const promise_row& row) { return out << row.name; }

void start(promises& seen, const std::string& task, const std::string& life, std::int64_t ms = 100)
{
    seen.started(task, 1, life, "east", "p", at(ms));
}

// Each row guards against a check of the soak that never fails, or that fails without a breach.
const std::vector<promise_row> rows {
    { "a job runs whole",
        [](promises& p) {
            p.accepted(job, at(0));
            start(p, taskA, "w1");
            start(p, taskB, "w1");
            p.ended(taskA, "w1", "done", at(200));
            p.ended(taskB, "w1", "done", at(200));
            start(p, taskC, "w1");
            p.ended(taskC, "w1", "done", at(300));
            p.acknowledged(taskA, "done");
            p.shown(job, 200, "completed");
            p.checkIdleJobs(at(0), at(9000));
        },
        0 },
    { "a step before its turn",
        [](promises& p) {
            start(p, taskA, "w1");
            p.ended(taskA, "w1", "done", at(200));
            start(p, taskC, "w1");
        },
        1 },
    { "an accepted job that is not started",
        [](promises& p) {
            p.accepted(job, at(0));
            p.checkIdleJobs(at(0), at(3000));
            p.checkIdleJobs(at(0), at(3001));
            p.checkIdleJobs(at(0), at(3002));
        },
        1 },
    { "nothing running for long, and not calm for as long",
        [](promises& p) {
            p.accepted(job, at(0));
            p.checkIdleJobs(at(1000), at(4000));
        },
        0 },
    { "a task that goes on",
        [](promises& p) {
            p.accepted(job, at(0));
            start(p, taskA, "w1");
            start(p, taskB, "w1");
            p.ended(taskB, "w1", "done", at(200));
            p.checkIdleJobs(at(0), at(9000));
        },
        0 },
    { "a step that does not follow",
        [](promises& p) {
            p.accepted(job, at(0));
            start(p, taskA, "w1");
            start(p, taskB, "w1");
            p.ended(taskA, "w1", "done", at(200));
            p.ended(taskB, "w1", "done", at(4000));
            p.checkIdleJobs(at(0), at(7000));
            p.checkIdleJobs(at(0), at(7001));
        },
        1 },
    { "completed too early",
        [](promises& p) {
            p.accepted(job, at(0));
            start(p, taskA, "w1");
            p.ended(taskA, "w1", "done", at(200));
            p.shown(job, 200, "completed");
        },
        1 },
    { "two runs at a time",
        [](promises& p) {
            start(p, taskA, "w1");
            start(p, taskA, "w2");
        },
        1 },
    { "a second run after the first worker has crashed",
        [](promises& p) {
            start(p, taskA, "w1");
            p.lifeEnded("w1", at(200));
            start(p, taskA, "w2");
        },
        0 },
    { "started again after its end was noted",
        [](promises& p) {
            start(p, taskA, "w1");
            p.ended(taskA, "w1", "done", at(200));
            p.acknowledged(taskA, "done");
            start(p, taskA, "w2");
        },
        1 },
    { "started after every attempt was rejected",
        [](promises& p) {
            p.gaveUp(job);
            start(p, taskA, "w1");
        },
        1 },
    { "started after an unclear attempt",
        [](promises& p) {
            p.unclear(job);
            p.gaveUp(job);
            start(p, taskA, "w1");
        },
        0 },
    { "unknown after acceptance",
        [](promises& p) {
            p.accepted(job, at(0));
            p.shown(job, 410, "");
        },
        1 },
    { "started long after cancellation",
        [](promises& p) {
            p.cancelAsked(job);
            p.cancelled(job, at(100));
            start(p, taskA, "w1", 4000);
        },
        1 },
    { "started in a data centre that is out",
        [](promises& p) {
            p.dataCentreOut("east", at(0));
            start(p, taskA, "w1", 6000);
        },
        1 },
    { "an older plan is read late",
        [](promises& p) {
            p.planAcknowledged(5, at(0));
            p.planRead(4, at(1000));
            p.planRead(4, at(3000));
        },
        1 },
    { "another payload", [](promises& p) { p.started(taskA, 1, "w1", "east", "q", at(100)); }, 1 },
};

} // namespace

BOOST_DATA_TEST_CASE(breaches_are_found, boost::unit_test::data::make(rows), row)
{
    promises seen;
    seen.sent(job, "p", { 2, 1 });
    row.events(seen);
    BOOST_TEST(seen.broken().size() == row.broken);
}
