#pragma once

#include "worker_api.h"

#include <cstdint>
#include <map>
#include <optional>
#include <poplardeal/base/time.h>
#include <poplardeal/wire/message.h>
#include <string>
#include <vector>

namespace poplardeal::detail {

/// Reports about tasks that control has not acknowledged yet. Each is sent again until the acknowledgement arrives;
/// control ignores repetitions.
class report_queue {
public:
    report_queue(std::string worker, incarnation);

    void add(const leased_task&, message::report_kind, std::string text);

    /// Frames to send now: new reports, and those sent `repeatInterval` ago. At most `maxPerRound`.
    std::vector<frame> takeDue(instant now);
    /// Everything is due again, because a new session was opened.
    void resendAll();

    /// The task of the acknowledged report, if it was waiting.
    std::optional<leased_task> acknowledge(std::uint64_t correlation);

    bool empty() const { return m_waiting.empty(); }

    static constexpr duration repeatInterval { std::chrono::seconds(2) };
    static constexpr std::size_t maxPerRound = 256;

private:
    struct waiting_report {
        leased_task task;
        frame message;
        std::optional<instant> sentAt;
    };

    std::string m_worker;
    incarnation m_instance;
    std::map<std::uint64_t, waiting_report> m_waiting; ///< By correlation.
    std::uint64_t m_lastCorrelation { 0 };
};

} // namespace poplardeal::detail
