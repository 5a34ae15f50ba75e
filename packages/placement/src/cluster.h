#pragma once

#include "records.h"
#include <limits>
#include <optional>
#include <vector>

namespace poplardeal::detail {

/// What a worker may give to a gang, and how much its use is to be avoided (0: not at all).
struct worker_offer {
    accelerator_mask accelerators { 0 };
    resources free;
    std::int64_t penalty { 0 };
    std::int64_t maxTasks { std::numeric_limits<std::int64_t>::max() };
};

/// The resource tree with what is held on each worker. Indexes of workers, racks and data centres never change.
class cluster {
public:
    const std::vector<worker_record>& workers() const { return m_workers; }
    const std::vector<rack_record>& racks() const { return m_racks; }
    const std::vector<data_centre_record>& dataCentres() const { return m_dataCentres; }
    worker_record& worker(std::uint32_t index) { return m_workers[index]; }
    const worker_record& worker(std::uint32_t index) const { return m_workers[index]; }
    data_centre_record& dataCentre(std::uint32_t index) { return m_dataCentres[index]; }

    std::optional<std::uint32_t> findWorker(const worker_id&) const;
    std::uint32_t addDataCentre(const data_centre_name&);
    std::optional<std::uint32_t> findDataCentre(const data_centre_name&) const;

    /// Puts a worker without leases into the tree, or back into it.
    std::uint32_t join(const worker_spec&);

    void hold(std::uint32_t worker, lease_number, accelerator_mask, const resources&);
    /// A claim keeps others off resources that still have to become free; holding them ends the claim.
    void claim(std::uint32_t worker, lease_number, accelerator_mask, const resources&);
    void unclaim(std::uint32_t worker, lease_number, accelerator_mask, const resources&);
    void free(std::uint32_t worker, lease_number, accelerator_mask, const resources&);

    /// Neither held nor claimed.
    worker_offer freeOffer(std::uint32_t worker) const;

    /// True if new tasks may be placed on the worker.
    bool isUsable(std::uint32_t worker, instant now) const;

    /// Names the fields for saving and restoring; `rebuildIndex` follows a restore.
    template <class Archive> void describe(Archive& archive) { archive(m_workers, m_racks, m_dataCentres); }
    void rebuildIndex();

private:
    std::uint32_t addRack(std::uint32_t dataCentre, const rack_name&);

    std::vector<worker_record> m_workers;
    std::vector<rack_record> m_racks;
    std::vector<data_centre_record> m_dataCentres;
    std::map<worker_id, std::uint32_t> m_workerIndex;
};

} // namespace poplardeal::detail
