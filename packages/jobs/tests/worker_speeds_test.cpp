#include "job_fixture.h"
#include <boost/test/unit_test.hpp>
#include <poplardeal/jobs/worker_speeds.h>
#include <random>

using namespace poplardeal;
using namespace poplardeal::test;

namespace {

duration ms(double count) { return std::chrono::microseconds(static_cast<std::int64_t>(count * 1000)); }

} // namespace

// Guards against attributing differences between steps, or between tasks of one step, to workers. A quarter of the
// workers take 1.3 times as long, and steps have 30 tasks of varying length.
BOOST_AUTO_TEST_CASE(slow_workers_are_distinguished_from_slow_steps)
{
    constexpr int workerCount = 20;
    worker_speeds speeds;
    std::mt19937_64 random(20261204);
    std::normal_distribution<double> uneven(0, 0.15);
    for (std::uint32_t s = 0; s < 8; ++s) {
        for (std::uint32_t i = 0; i < 30; ++i) {
            const auto w = static_cast<int>((s * 7 + i) % workerCount);
            const double factor = w % 4 == 0 ? 1.3 : 1.0;
            speeds.observe({ boot("w" + std::to_string(w)), task("j" + std::to_string(s), s, i),
                ms((2000 + 3000.0 * s) * factor * std::exp(uneven(random))) });
        }
    }
    const auto slowness = speeds.fit({});
    for (int w = 0; w < workerCount; ++w) {
        BOOST_TEST((slowness.at(boot("w" + std::to_string(w))) > 1.09) == (w % 4 == 0));
    }
    BOOST_TEST(!slowness.contains(boot("unknown")));
}

// Guards against classifying a worker as slow because of one slow task.
BOOST_AUTO_TEST_CASE(a_single_sample_has_a_low_weight)
{
    worker_speeds speeds;
    for (std::uint32_t i = 0; i < 9; ++i)
        speeds.observe({ boot("w" + std::to_string(i)), task("j", 0, i), ms(1000) });
    speeds.observe({ boot("odd"), task("j", 0, 9), ms(1150) });
    BOOST_TEST(speeds.fit({}).at(boot("odd")) < 1.09);
}

// Guards against memory use that grows with the time that the process runs.
BOOST_AUTO_TEST_CASE(samples_are_bounded)
{
    worker_speeds speeds;
    for (std::uint32_t i = 0; i < 3 * worker_speeds::maxSamples; ++i)
        speeds.observe({ boot("w" + std::to_string(i % 5)), task("j", i / 50, i), ms(1000) });
    BOOST_TEST(speeds.samples().size() == worker_speeds::maxSamples);
    BOOST_TEST(std::abs(speeds.fit({}).at(boot("w1")) - 1) < 0.001);
}
