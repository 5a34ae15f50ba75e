#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <poplardeal/jobs/worker_agent.h>

using namespace poplardeal;
using namespace std::chrono_literals;

namespace {

const worker_boot boot { worker_id("i-1"), 1000 };
const run_key run { { submission_id("0123456789abcdef"), 0, 0, 0 }, run_number(1) };
constexpr std::uint64_t term = 3;
constexpr const char* workerAddress = "10.0.0.1:80";
constexpr std::int64_t clockMs = 50'000; ///< Worker's clock at the first poll.

instant at(duration d) { return instantFromMicros(1'000'000'000) + d; }

/// A sidecar whose worker has answered a poll at 10 s after the start of the process.
struct agent_fixture {
    worker_agent agent { {}, at(0s) };

    agent_fixture()
    {
        agent.tick(at(10s));
        agent.applyAnnouncement(announce(boot, 1), at(10s));
        answerProbes(agent, boot, at(10s));
        poll(at(10s), clockMs);
    }

    /// The worker beside `to` is `answering`, which is the only one that answers.
    static agent_change answerProbes(worker_agent& to, const worker_boot& answering, instant now)
    {
        auto out = agent_change::none;
        for (const auto& probe : to.takeProbes(term, now)) {
            if (probe.boot.worker != answering.worker || probe.address != workerAddress)
                to.applyProbeFailure(probe, now);
            else
                out = std::max(out, to.applyProbeResult(probe, { clockMs, answering.startedAtMs, {}, {} }, now));
        }
        return out;
    }

    static worker_announcement announce(const worker_boot& of, std::uint64_t sequence)
    {
        worker_announcement out;
        out.status.boot = of;
        out.status.address = workerAddress;
        out.sequence = sequence;
        return out;
    }

    void poll(instant now, std::int64_t clock, std::vector<live_task> running = {}, std::vector<task_end> ended = {})
    {
        agent.beginPoll(term);
        agent.applyPollResult(boot, { clock, boot.startedAtMs, std::move(running), std::move(ended) }, now);
    }

    /// Ticks as often as the process does, so that it does not seem to have stood still.
    void idleUntil(instant from, instant to)
    {
        for (auto now = from; now <= to; now += 50ms)
            agent.tick(now);
    }

    /// The worker lists as many ends as it does at once; others may follow.
    void pollCutLists(instant now, std::int64_t clock)
    {
        agent.beginPoll(term);
        poll_result lists { clock, boot.startedAtMs, {}, {} };
        lists.isComplete = false;
        agent.applyPollResult(boot, lists, now);
    }

    std::vector<run_key> instruct(instant now, std::int64_t startUntilMs, std::uint64_t byTerm = term)
    {
        worker_instructions out;
        out.boot = boot;
        out.starts.push_back({ run, "payload", {}, startUntilMs });
        return agent.applyInstructions(byTerm, out, now);
    }

    void instructNothing(instant now, std::uint64_t byTerm)
    {
        worker_instructions out;
        out.boot = boot;
        agent.applyInstructions(byTerm, out, now);
    }

    std::size_t countStarts(const std::vector<worker_order>& orders) const
    {
        return static_cast<std::size_t>(std::count_if(
            orders.begin(), orders.end(), [](const auto& each) { return std::holds_alternative<start_order>(each); }));
    }

    std::size_t countStops(const std::vector<worker_order>& orders) const
    {
        return orders.size() - countStarts(orders);
    }

    std::vector<refused_run> refusedRuns(instant now) { return agent.report(now)->refused; }
};

struct pause_row {
    const char* name;
    duration pause; ///< Between the last call and the arrival of the order.
    bool hasOldAnswer; ///< The answer to a poll from before the pause comes first.
    std::size_t starts;
};
std::ostream& operator<<(std::ostream& out, const pause_row& row) { return out << row.name; }

const pause_row pauseRows[] = {
    { "no pause", 50ms, false, 1 },
    { "an answer in time", 50ms, true, 1 },
    { "short pause", 400ms, false, 1 },
    { "pause", 3s, false, 0 },
    { "an answer from before the pause", 3s, true, 0 },
};

struct window_row {
    const char* name;
    duration after; ///< From the last answer of the worker to the order.
    std::int64_t startUntilMs; ///< Relative to the worker's clock in that answer.
    std::size_t starts;
};
std::ostream& operator<<(std::ostream& out, const window_row& row) { return out << row.name; }

const window_row windowRows[] = {
    { "in time", 100ms, 1500, 1 },
    { "just in time", 1400ms, 1500, 1 },
    { "too late", 1500ms, 1500, 0 },
    { "long over", 5s, 1500, 0 },
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(worker_agents, agent_fixture)

// A sidecar stands still while an order waits in its socket. Guards against a start on a permission that has run out
// meanwhile, also when an old answer makes the worker's clock look fresh.
BOOST_DATA_TEST_CASE_F(agent_fixture, an_order_that_waited_out_a_pause_is_not_passed_on, pauseRows, row)
{
    agent.beginPoll(term);
    const auto now = at(10s) + row.pause;
    if (row.hasOldAnswer)
        agent.applyPollResult(boot, { clockMs + 40, boot.startedAtMs, {}, {} }, now);
    const auto late = instruct(now, clockMs + 1500);
    BOOST_TEST(countStarts(agent.takeOrders()) == row.starts);
    BOOST_TEST(late.size() == 1 - row.starts);
}

// Guards against a start after the end of its window, measured on the worker's clock.
BOOST_DATA_TEST_CASE_F(agent_fixture, a_start_is_passed_on_only_within_its_window, windowRows, row)
{
    idleUntil(at(10s), at(10s) + row.after);
    instruct(at(10s) + row.after, clockMs + row.startUntilMs);
    BOOST_TEST(countStarts(agent.takeOrders()) == row.starts);
}

// Guards against an order that is held back for ever after a pause.
BOOST_AUTO_TEST_CASE(orders_are_passed_on_again_after_a_poll_that_began_after_the_pause)
{
    agent.tick(at(15s));
    poll(at(15s), clockMs + 5000);
    instruct(at(15s), clockMs + 6500);
    BOOST_TEST(countStarts(agent.takeOrders()) == 1u);
}

// Guards against a repeated order after its window, when the worker answers nothing.
BOOST_AUTO_TEST_CASE(an_unanswered_start_is_repeated_only_within_its_window)
{
    instruct(at(10s), clockMs + 300);
    BOOST_TEST(countStarts(agent.takeOrders()) == 1u);
    idleUntil(at(10s), at(10200ms));
    agent.applyReply(start_reply { run, boot, std::nullopt, {}, true }, at(10200ms));
    BOOST_TEST(countStarts(agent.takeOrders()) == 1u);
    idleUntil(at(10200ms), at(10400ms));
    agent.applyReply(start_reply { run, boot, std::nullopt, {}, true }, at(10400ms));
    BOOST_TEST(agent.takeOrders().empty());
}

// A start without an answer may be carried out seconds later. Guards against a run that begins after the leader, which
// is cut off, has given it up.
BOOST_AUTO_TEST_CASE(a_start_without_an_answer_is_voided_without_the_leader)
{
    instruct(at(10s), clockMs + 1500);
    agent.takeOrders();
    agent.applyReply(start_reply { run, boot, std::nullopt, {}, true }, at(10200ms));
    agent.takeOrders();
    agent.applyReply(start_reply { run, boot, start_result::refused, "room", true }, at(10210ms));
    BOOST_TEST(refusedRuns(at(10210ms)).empty());
    poll(at(10500ms), clockMs + 500);
    BOOST_TEST(countStops(agent.takeOrders()) == 0u);
    poll(at(11s), clockMs + 1000);
    poll(at(11500ms), clockMs + 1500);
    BOOST_TEST(countStops(agent.takeOrders()) == 1u);
    agent.applyReply(stop_reply { run, boot, true }, at(11505ms));
    BOOST_TEST(refusedRuns(at(11510ms)).empty());
    poll(at(11900ms), clockMs + 1900);
    BOOST_TEST(refusedRuns(at(11900ms)).size() == 1u);
}

// A new leader orders what its predecessor has ordered. Guards against a refusal that is taken for certain although an
// attempt for the predecessor is unanswered.
BOOST_AUTO_TEST_CASE(an_unanswered_start_stays_uncertain_under_a_new_leader)
{
    instruct(at(10s), clockMs + 1500);
    agent.takeOrders();
    agent.applyReply(start_reply { run, boot, std::nullopt, {}, true }, at(10200ms));
    agent.takeOrders();
    agent.applyReply(start_reply { run, boot, std::nullopt, {}, true }, at(10400ms));
    agent.takeOrders();
    instructNothing(at(10500ms), term + 1);
    instruct(at(10600ms), clockMs + 2000, term + 1);
    agent.takeOrders();
    agent.applyReply(start_reply { run, boot, start_result::refused, "room", true }, at(10610ms));
    BOOST_TEST(agent.mayStillStart(run));
    BOOST_TEST(refusedRuns(at(10610ms)).empty());
}

// Guards against a refusal that is taken for certain although the process before this one may have sent the same order.
BOOST_AUTO_TEST_CASE(a_refusal_right_after_a_restart_is_uncertain)
{
    worker_agent restarted({}, at(20s));
    restarted.applyAnnouncement(announce(boot, 9), at(20s));
    answerProbes(restarted, boot, at(20s));
    restarted.beginPoll(term);
    restarted.applyPollResult(boot, { clockMs + 10'000, boot.startedAtMs, {}, {} }, at(20s));
    worker_instructions orders;
    orders.boot = boot;
    orders.starts.push_back({ run, "payload", {}, clockMs + 10'900 });
    restarted.applyInstructions(term, orders, at(20100ms));
    restarted.applyReply(start_reply { run, boot, start_result::refused, "room", true }, at(20110ms));
    BOOST_TEST(restarted.mayStillStart(run));
    BOOST_TEST(restarted.report(at(20110ms))->refused.empty());
}

// Guards against a listed run that is stopped because an answer was lost.
BOOST_AUTO_TEST_CASE(a_listed_run_is_not_voided)
{
    instruct(at(10s), clockMs + 1500);
    agent.takeOrders();
    agent.applyReply(start_reply { run, boot, std::nullopt, {}, true }, at(10200ms));
    agent.takeOrders();
    poll(at(10300ms), clockMs + 300, { { run.task, run.run, {}, 5 } });
    poll(at(10700ms), clockMs + 700, { { run.task, run.run, {}, 10 } });
    poll(at(11100ms), clockMs + 1100, { { run.task, run.run, {}, 20 } });
    poll(at(11600ms), clockMs + 1600, { { run.task, run.run, {}, 30 } });
    BOOST_TEST(agent.takeOrders().empty());
}

// Guards against ends of a later boot that are acknowledged with the numbers of the earlier one.
BOOST_DATA_TEST_CASE(
    a_poll_after_a_failure_acknowledges_nothing, boost::unit_test::data::make({ false, true }), isAnsweredByLaterBoot)
{
    worker_instructions orders;
    orders.boot = boot;
    orders.acknowledged = 7;
    orders.leaseUntilMs = clockMs + 6000;
    agent.applyInstructions(term, orders, at(10s));
    BOOST_TEST(agent.beginPoll(term).acknowledged == 7u);
    if (isAnsweredByLaterBoot)
        agent.applyPollResult(boot, { 100, boot.startedAtMs + 1, {}, {} }, at(10400ms));
    else
        agent.applyPollFailure(boot, poll_failure::silence, at(10400ms));
    const auto neutral = agent.beginPoll(term);
    BOOST_TEST(neutral.acknowledged == 0u);
    BOOST_TEST(neutral.leaseUntilMs == 0);
    agent.applyPollResult(boot, { clockMs + 500, boot.startedAtMs, {}, {} }, at(10500ms));
    BOOST_TEST(agent.beginPoll(term).acknowledged == 7u);
}

struct open_start_row {
    const char* name;
    bool isUnderWay; ///< The time for the answer to the start is not over when the later boot answers.
    bool isForgotten; ///< The earlier boot has said that it ends, and its exit has been reported for long enough.
};
std::ostream& operator<<(std::ostream& out, const open_start_row& row) { return out << row.name; }

const open_start_row openStartRows[] = {
    { "a start without an answer", false, false },
    { "a start under way", true, false },
    { "a start of a boot that is forgotten", false, true },
};

// A repeated start may be carried out by a later boot of its worker. Guards against that boot being shown to the
// leader, which starts the task elsewhere, before it refuses the run.
BOOST_DATA_TEST_CASE_F(
    agent_fixture, a_later_boot_is_shown_once_it_refuses_starts_of_the_earlier_one, openStartRows, row)
{
    instruct(at(10s), clockMs + 1500);
    agent.takeOrders();
    if (!row.isUnderWay)
        agent.applyReply(start_reply { run, boot, std::nullopt, {}, true }, at(10200ms));
    agent.takeOrders();
    auto now = at(10400ms);
    if (row.isForgotten) {
        worker_announcement gone;
        gone.status.boot.worker = boot.worker;
        gone.status.isGone = true;
        agent.applyAnnouncement(gone, now);
        agent.beginPoll(term);
        agent.applyPollFailure(boot, poll_failure::boot_ended, now);
        idleUntil(now, now + 4s);
        now += 4s;
        BOOST_REQUIRE(agent.worker() == nullptr);
    }
    const worker_boot later { boot.worker, 2000 };
    agent.applyAnnouncement(announce(later, 1), now);
    answerProbes(agent, later, now);
    BOOST_TEST(countStops(agent.takeOrders()) == 1u);
    BOOST_TEST(!agent.report(now).has_value());
    agent.applyReply(stop_reply { run, later, true }, now + 50ms);
    agent.beginPoll(term);
    agent.applyPollResult(later, { 100, later.startedAtMs, {}, {} }, now + 100ms);
    BOOST_TEST(agent.report(now + 100ms).has_value());
}

// Guards against a stop that a worker refuses for ever because no orders of the new leader have come yet.
BOOST_AUTO_TEST_CASE(a_stop_of_its_own_carries_the_term_of_the_leader_that_is_known)
{
    instruct(at(10s), clockMs + 300);
    agent.takeOrders();
    agent.applyReply(start_reply { run, boot, std::nullopt, {}, true }, at(10200ms));
    agent.takeOrders();
    agent.beginPoll(term + 4);
    agent.applyPollResult(boot, { clockMs + 400, boot.startedAtMs, {}, {} }, at(10400ms));
    const auto orders = agent.takeOrders();
    BOOST_REQUIRE(countStops(orders) == 1u);
    BOOST_TEST(std::get<stop_order>(orders.back()).term == term + 4);
}

struct announcement_row {
    const char* name;
    worker_boot boot;
    std::uint64_t sequence;
    agent_change change;
};
std::ostream& operator<<(std::ostream& out, const announcement_row& row) { return out << row.name; }

const announcement_row announcementRows[] = {
    { "repeated", boot, 1, agent_change::none },
    { "next of the same boot", boot, 2, agent_change::none },
    { "earlier boot", { boot.worker, 500 }, 9, agent_change::none },
    { "later boot", { boot.worker, 2000 }, 1, agent_change::new_worker },
    { "earlier worker", { worker_id("i-0"), 500 }, 9, agent_change::none },
    { "later worker", { worker_id("i-2"), 2000 }, 1, agent_change::new_worker },
};

// Guards against a worker that comes back because one of its announcements was held up.
BOOST_DATA_TEST_CASE_F(agent_fixture, only_later_boots_replace_a_worker, announcementRows, row)
{
    BOOST_TEST((agent.applyAnnouncement(announce(row.boot, row.sequence), at(11s)) == agent_change::none));
    BOOST_TEST((answerProbes(agent, row.boot, at(11s)) == row.change));
    const bool isReplaced = row.change == agent_change::new_worker;
    BOOST_TEST((agent.worker()->boot == (isReplaced ? row.boot : boot)));
    BOOST_TEST(agent.worker()->running.empty());
}

struct odd_entry_row {
    const char* name;
    worker_boot boot;
    const char* address;
};
std::ostream& operator<<(std::ostream& out, const odd_entry_row& row) { return out << row.name; }

constexpr std::int64_t farFutureMs = 253402300799999;

const odd_entry_row oddEntryRows[] = {
    { "another id elsewhere", { worker_id("i-9"), farFutureMs }, "10.0.0.9:80" },
    { "another id at the worker's address", { worker_id("i-9"), farFutureMs }, workerAddress },
    { "a later boot elsewhere", { boot.worker, farFutureMs }, "10.0.0.9:80" },
    { "a later boot at the worker's address", { boot.worker, farFutureMs }, workerAddress },
    { "the same boot elsewhere", boot, "10.0.0.9:80" },
};

// Guards against an entry of another writer that takes the place of a worker, or hides what the worker announces later.
BOOST_DATA_TEST_CASE_F(agent_fixture, an_unconfirmed_boot_changes_nothing, oddEntryRows, row)
{
    for (const bool hasWorker : { true, false }) {
        worker_agent fresh({}, at(10s));
        auto& tested = hasWorker ? agent : fresh;
        auto odd = announce(row.boot, 1);
        odd.status.address = row.address;
        tested.applyAnnouncement(odd, at(10s));
        BOOST_TEST((answerProbes(tested, boot, at(10s)) == agent_change::none));
        BOOST_TEST(tested.report(at(10s)).has_value() == hasWorker);
        auto real = announce(boot, 2);
        real.status.isDraining = true;
        tested.applyAnnouncement(real, at(10200ms));
        answerProbes(tested, boot, at(10200ms));
        BOOST_REQUIRE(tested.worker() != nullptr);
        BOOST_TEST((tested.worker()->boot == boot));
        BOOST_TEST(tested.worker()->address == workerAddress);
        BOOST_TEST(tested.worker()->isDraining);
    }
}

// Two boots answer, at two addresses. Guards against a working one that is given up, and a later one that is not
// followed when the earlier one ends.
BOOST_AUTO_TEST_CASE(a_worker_that_answers_is_replaced_once_it_fails)
{
    const worker_boot later { worker_id("i-2"), 2000 };
    auto announced = announce(later, 1);
    announced.status.address = "10.0.0.2:80";
    agent.applyAnnouncement(announced, at(11s));
    const auto probe = agent.takeProbes(term, at(11s)).at(0);
    const poll_result answer { 100, later.startedAtMs, {}, {} };
    BOOST_TEST((agent.applyProbeResult(probe, answer, at(11s)) == agent_change::none));
    agent.beginPoll(term);
    agent.applyPollFailure(boot, poll_failure::silence, at(11100ms));
    BOOST_REQUIRE(agent.takeProbes(term, at(11200ms)).size() == 1u);
    BOOST_TEST((agent.applyProbeResult(probe, answer, at(11200ms)) == agent_change::new_worker));
    BOOST_TEST(agent.isPollDue(at(11200ms)));
}

// Guards against one entry with a high number that hides the news of a drain for ever, and against late entries that
// are taken for news.
BOOST_AUTO_TEST_CASE(a_high_sequence_number_hides_later_announcements_for_seconds_only)
{
    agent.applyAnnouncement(announce(boot, std::uint64_t { 1 } << 48), at(11s));
    auto draining = announce(boot, 2);
    draining.status.isDraining = true;
    for (auto now = at(11200ms); now < at(13s); now += 200ms, ++draining.sequence) {
        agent.applyAnnouncement(draining, now);
        BOOST_TEST(!agent.worker()->isDraining);
    }
    agent.applyAnnouncement(draining, at(13s));
    BOOST_TEST(agent.worker()->isDraining);
}

// Guards against entries that fill the memory, or that keep the sidecar from probing its worker.
BOOST_AUTO_TEST_CASE(odd_entries_do_not_crowd_out_a_worker)
{
    worker_agent fresh({}, at(10s));
    for (int i = 0; i < 1000; ++i)
        fresh.applyAnnouncement(announce({ worker_id("odd-" + std::to_string(i)), farFutureMs }, 1), at(10s));
    fresh.applyAnnouncement(announce(boot, 1), at(10100ms));
    BOOST_TEST(fresh.takeProbes(term, at(10100ms)).size() == agent_options().maxCandidates);
    fresh.applyAnnouncement(announce({ worker_id("odd"), farFutureMs }, 1), at(10100ms));
    BOOST_TEST(fresh.takeProbes(term, at(10100ms)).empty());
    const probe_request probe { boot, workerAddress, {} };
    BOOST_TEST((
        fresh.applyProbeResult(probe, { clockMs, boot.startedAtMs, {}, {} }, at(10200ms)) == agent_change::new_worker));
}

struct departure_row {
    const char* name;
    duration silence; ///< After the word that the worker ends; the worker answers then.
    std::optional<duration> refusedAfter; ///< Nothing listens from then on.
    std::optional<duration> goneAfter;
};
std::ostream& operator<<(std::ostream& out, const departure_row& row) { return out << row.name; }

const departure_row departureRows[] = {
    { "a worker that goes on: an earlier boot has sent the word", 0ms, {}, {} },
    { "a worker that goes on after a short silence", 600ms, {}, {} },
    { "a worker that goes on after a silence longer than the doubt", 2550ms, {}, {} },
    { "a worker that goes on after a silence longer than any lease", 9000ms, {}, {} },
    { "nothing listens", 12s, 150ms, 150ms },
    { "silence, then nothing listens", 12s, 4500ms, 4500ms },
    { "no answer any more", 12s, {}, {} },
};

// The word that a worker ends names no boot and may come late. Guards against giving up a later boot under its id whose
// runs go on, also while it answers nobody, and against a worker that ends and is not given up.
BOOST_DATA_TEST_CASE_F(agent_fixture, the_word_that_a_worker_ends_is_confirmed, departureRows, row)
{
    constexpr auto doubt = 1500ms;
    worker_announcement gone;
    gone.status.boot.worker = boot.worker;
    gone.status.isGone = true;
    agent.applyAnnouncement(gone, at(10s));
    BOOST_TEST(agent.isPollDue(at(10s)));
    std::optional<duration> goneAfter;
    std::optional<duration> answeredAfterDoubt;
    for (duration elapsed { 0 }; elapsed <= 12s && !goneAfter; elapsed += 150ms) {
        const auto now = at(10s + elapsed);
        const bool isLongPoll = agent.beginPoll(term).wait.count() > 0;
        BOOST_TEST(isLongPoll == (answeredAfterDoubt && *answeredAfterDoubt < elapsed));
        auto change = agent_change::none;
        if (elapsed >= row.silence) {
            const auto clock = clockMs + std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count();
            change = agent.applyPollResult(boot, { clock, boot.startedAtMs, {}, {} }, now);
            if (elapsed >= doubt && !answeredAfterDoubt)
                answeredAfterDoubt = elapsed;
        } else {
            const bool isRefused = row.refusedAfter && elapsed >= *row.refusedAfter;
            change = agent.applyPollFailure(boot, isRefused ? poll_failure::boot_ended : poll_failure::silence, now);
        }
        if (change == agent_change::worker_gone)
            goneAfter = elapsed;
    }
    BOOST_TEST((goneAfter == row.goneAfter));
    BOOST_TEST(agent.worker()->isGone == row.goneAfter.has_value());
}

// Guards against a heartbeat that was held up and brings back a boot that has ended, and against a boot that was given
// up by mistake and is ignored for good.
BOOST_AUTO_TEST_CASE(a_boot_that_counts_as_gone_is_followed_when_it_answers)
{
    worker_announcement gone;
    gone.status.boot.worker = boot.worker;
    gone.status.isGone = true;
    agent.applyAnnouncement(gone, at(10s));
    agent.beginPoll(term);
    BOOST_TEST((agent.applyPollFailure(boot, poll_failure::boot_ended, at(10s)) == agent_change::worker_gone));
    agent.applyAnnouncement(announce(boot, 2), at(10100ms));
    BOOST_TEST(agent.worker()->isGone);
    for (const auto& probe : agent.takeProbes(term, at(10100ms)))
        agent.applyProbeFailure(probe, at(10500ms));
    BOOST_TEST(agent.report(at(10500ms))->isGone);
    answerProbes(agent, boot, at(10700ms));
    BOOST_TEST(!agent.worker()->isGone);
    poll(at(10700ms), clockMs + 700);
    BOOST_TEST(!agent.report(at(10700ms))->isGone);
}

struct refusal_row {
    const char* name;
    bool isCutBefore; ///< The lists before the refusal.
    bool isDraining; ///< The start is refused by the sidecar, not by the worker.
    bool isEndListed; ///< In the complete lists after it.
    bool isProvenAtOnce;
    bool isProven;
};
std::ostream& operator<<(std::ostream& out, const refusal_row& row) { return out << row.name; }

const refusal_row refusalRows[] = {
    { "complete lists", false, false, false, true, true },
    { "complete lists of a worker that drains", false, true, false, true, true },
    { "cut lists, then none of the run", true, false, false, false, true },
    { "cut lists, then the end of the run", true, false, true, false, false },
    { "cut lists of a worker that drains, then the end of the run", true, true, true, false, false },
};

// More ends wait than the worker lists at once, and it refuses the start of a run that is over. Guards against taking
// the run for one that never was, which starts its task again.
BOOST_DATA_TEST_CASE_F(agent_fixture, a_refusal_beside_cut_lists_proves_nothing, refusalRows, row)
{
    auto drained = announce(boot, 2);
    drained.status.isDraining = row.isDraining;
    agent.applyAnnouncement(drained, at(10s));
    if (row.isCutBefore)
        pollCutLists(at(10s), clockMs);
    instruct(at(10s), clockMs + 1500);
    const auto orders = agent.takeOrders();
    BOOST_TEST(countStarts(orders) == (row.isDraining ? 0U : 1U));
    if (!row.isDraining)
        agent.applyReply(start_reply { run, boot, start_result::refused, "old", true }, at(10s));
    BOOST_TEST(refusedRuns(at(10s)).size() == (row.isProvenAtOnce ? 1U : 0U));
    instruct(at(10s), clockMs + 1500);
    BOOST_TEST(agent.takeOrders().empty());
    if (row.isCutBefore)
        pollCutLists(at(10s), clockMs + 1);
    BOOST_TEST(refusedRuns(at(10s)).size() == (row.isProvenAtOnce ? 1U : 0U));
    std::vector<task_end> ended;
    if (row.isEndListed)
        ended.push_back({ 501, run.task, run.run, end_kind::done, {} });
    poll(at(10s), clockMs + 2, {}, ended);
    BOOST_TEST(refusedRuns(at(10s)).size() == (row.isProven ? 1U : 0U));
}

// A row of the worker's lists cannot be read. Guards against a run that counts as not existing because of it, and
// against runs that are not followed any more.
BOOST_AUTO_TEST_CASE(an_unreadable_row_proves_no_absence)
{
    const live_task known { run.task, run.run, checkpoint("cp"), 40 };
    const auto answer = [this](instant now, poll_result lists) {
        agent.beginPoll(term);
        lists.clockMs = clockMs + 100;
        agent.applyPollResult(boot, std::move(lists), now);
    };
    poll(at(10s), clockMs, { known });
    answer(at(10100ms), { 0, boot.startedAtMs, {}, {}, {}, 1, false });
    BOOST_REQUIRE(agent.worker()->running.size() == 1u);
    BOOST_TEST((agent.worker()->running[0] == known));
    answer(at(10200ms), { 0, boot.startedAtMs, { { run.task, run.run, {}, 0 } }, {}, { run }, 1, true });
    BOOST_TEST((agent.worker()->running[0] == known));
    answer(at(10300ms), { 0, boot.startedAtMs, {}, { { 1, run.task, run.run, end_kind::done, {} } }, {}, 1, false });
    BOOST_TEST(agent.worker()->running.empty());

    worker_instructions orders;
    orders.boot = boot;
    const run_key other { { run.task.job, 0, 0, 1 }, run_number(1) };
    orders.stops = { other };
    agent.applyInstructions(term, orders, at(10400ms));
    agent.applyReply(stop_reply { other, boot, true }, at(10400ms));
    answer(at(10500ms), { 0, boot.startedAtMs, {}, {}, {}, 1, false });
    BOOST_TEST(refusedRuns(at(10500ms)).empty());
    answer(at(10600ms), { 0, boot.startedAtMs, {}, {}, {}, 0, true });
    BOOST_TEST(refusedRuns(at(10600ms)).size() == 1u);
}

struct clock_row {
    const char* name;
    std::int64_t ahead; ///< Of the clock in one answer, in milliseconds.
    bool isTaken;
};
std::ostream& operator<<(std::ostream& out, const clock_row& row) { return out << row.name; }

const clock_row clockRows[] = {
    { "in step", 200, true },
    { "half a minute ahead", 30'000, true },
    { "two minutes ahead", 120'000, false },
    { "2^53", (std::int64_t { 1 } << 53) - clockMs, false },
};

// Guards against one odd clock, after which the leader ignores all later reports as older, and against a worker that is
// not followed any more because its clock has been set.
BOOST_DATA_TEST_CASE_F(agent_fixture, a_clock_far_ahead_counts_only_if_the_next_one_agrees, clockRows, row)
{
    poll(at(10200ms), clockMs + row.ahead);
    BOOST_TEST((agent.worker()->clockMs == clockMs + row.ahead) == row.isTaken);
    poll(at(10400ms), clockMs + 400);
    BOOST_TEST(agent.worker()->clockMs == clockMs + 400);
    BOOST_TEST(agent.pollFailures() == 0u);
    poll(at(10600ms), clockMs + 600 + row.ahead);
    poll(at(10800ms), clockMs + 800 + row.ahead);
    BOOST_TEST(agent.worker()->clockMs == clockMs + 800 + row.ahead);
}

BOOST_AUTO_TEST_SUITE_END()
