#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <poplardeal/base/ids.h>
#include <poplardeal/base/time.h>
#include <poplardeal/base/verdict.h>
#include <poplardeal/control/control_command.h>
#include <utility>

namespace poplardeal::detail {

/// Idempotency keys of non-idempotent requests, each claimed for one request at one endpoint.
class claimed_keys {
public:
    claimed_keys(std::size_t maxClaims, duration retention);

    enum class claim_result {
        granted,
        already_claimed,
        fingerprint_differs,
        full,
    };

    /// A claim repeated by the same request is granted again: the first grant may have been lost on its way.
    claim_result claim(const claim_key&, instant now);
    /// Only the request that holds the claim can settle it. `not_run` frees the key.
    void settle(const settle_key&);

    struct claim_record {
        endpoint_id endpoint;
        incarnation instance;
        request_id request;
        std::uint64_t fingerprint { 0 };
        run_verdict verdict { run_verdict::may_have_run };
        instant time;
    };
    const claim_record* find(const service_name&, const idempotency_key&) const;

    void dropExpired(instant now);
    nlohmann::json save() const;
    void restore(const nlohmann::json&);

private:
    using scoped_key = std::pair<service_name, idempotency_key>;
    struct dated_key {
        scoped_key key;
        instant time;
    };

    std::size_t m_maxClaims;
    duration m_retention;
    std::map<scoped_key, claim_record> m_claims;
    std::deque<dated_key> m_byAge; ///< May name freed claims; `time` tells them from later ones of the same key.
};

} // namespace poplardeal::detail
