#pragma once

#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <optional>
#include <poplardeal/base/ids.h>
#include <poplardeal/base/time.h>
#include <string>
#include <unordered_map>

namespace poplardeal::detail {

/// First answer of each order, so that a resend gets the same answer and has no second effect.
class answered_orders {
public:
    answered_orders(std::size_t maxOrders, duration retention);

    enum class lookup_kind {
        unknown,
        answered,
        other_content, ///< The id was used for an order with other content.
        full,
    };
    struct lookup_result {
        lookup_kind kind { lookup_kind::unknown };
        std::string answer;
    };

    lookup_result lookup(const order_id&, std::uint64_t fingerprint) const;
    void record(const order_id&, std::uint64_t fingerprint, std::string answer, instant now);
    void dropExpired(instant now);

    nlohmann::json save() const;
    void restore(const nlohmann::json&);

private:
    struct answered_order {
        std::uint64_t fingerprint { 0 };
        std::string answer;
        instant time;
    };

    std::size_t m_maxOrders;
    duration m_retention;
    std::unordered_map<order_id, answered_order> m_orders;
    std::deque<order_id> m_byAge;
};

} // namespace poplardeal::detail
