#pragma once

#include <map>
#include <poplardeal/base/ids.h>
#include <poplardeal/base/time.h>
#include <utility>

namespace poplardeal {

/// Start permits, decided once for a whole gang. The first question opens a window in which every task of the gang gets
/// its permit, even if the data centre is taken out meanwhile; after it no task does. Otherwise an order between two
/// questions would start a part of a gang.
class gang_permits {
public:
    /// A permit given at the end of the window and used at the end of its own 2 s still starts before the 3 s within
    /// which starts in a data centre must end.
    static constexpr duration window { std::chrono::milliseconds(900) };

    /// `mayStart` is what the scheduler says now.
    bool decide(const task_id&, bool mayStart, instant now);

private:
    std::map<std::pair<job_id, std::uint32_t>, instant> m_windows;
};

} // namespace poplardeal
