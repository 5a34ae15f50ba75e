#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <poplardeal/base/ids.h>
#include <poplardeal/base/time.h>
#include <poplardeal/base/verdict.h>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace poplardeal {

/// How a request with an idempotency key ended.
struct stored_outcome {
    run_verdict verdict { run_verdict::may_have_run };
    std::uint32_t status { 0 };
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string error;
};

struct outcome_table_settings {
    duration keepFor { std::chrono::minutes(10) };
    std::size_t maxKeys { 100'000 }; ///< When full, further keys are refused.
    std::size_t maxBytes { std::size_t { 64 } * 1024 * 1024 }; ///< Of bodies and headers. When full, the oldest are
                                                               ///< dropped, not the keys.
};

/// Outcomes of requests with an idempotency key, held by one endpoint sidecar. A key runs once; a repeat gets the first
/// outcome.
class outcome_table {
public:
    explicit outcome_table(outcome_table_settings = {});

    enum class state {
        unknown,
        in_flight,
        finished,
    };
    enum class begin_result {
        run, ///< The caller of `begin` runs the request now and calls `finish`.
        in_flight,
        finished,
        full,
    };

    /// Reserves the key for one run.
    begin_result begin(const idempotency_key&, const request_id&, instant now);

    /// Ends the run of `begin`. A request that did not run frees its key. Ignored if this request does not hold the
    /// key.
    void finish(const idempotency_key&, const request_id&, stored_outcome, instant now);

    state find(const idempotency_key&, instant now);
    /// Null unless finished. A dropped body leaves the verdict and an error.
    std::shared_ptr<const stored_outcome> outcome(const idempotency_key&, instant now);

    std::size_t size() const { return m_keys.size(); }
    std::size_t bytes() const { return m_bytes; }
    std::uint64_t droppedBodies() const { return m_droppedBodies; }

private:
    struct held_key {
        request_id holder;
        bool finished { false };
        instant finishedAt;
        std::shared_ptr<const stored_outcome> outcome;
        std::size_t bytes { 0 };
    };

    void expire(instant now);
    void dropOldBodies();

    outcome_table_settings m_settings;
    std::unordered_map<idempotency_key, held_key> m_keys;
    std::list<idempotency_key> m_byAge; ///< Finished keys, oldest first.
    std::list<idempotency_key> m_withBody; ///< Finished keys whose body is held, oldest first.
    std::size_t m_bytes { 0 };
    std::uint64_t m_droppedBodies { 0 };
};

} // namespace poplardeal
