#pragma once

#include "child_process.h"
#include <filesystem>
#include <poplardeal/wire/address.h>

namespace poplardeal::soak {

enum class process_kind { control, entry, sidecar };

/// What the settings of the process under test hand over as its machine.
inline constexpr std::size_t limitedMemoryMb = 32;
inline constexpr std::size_t limitedDescriptors = 128;

/// One process of the system on loopback, with the limits of a small machine in its settings.
class limited_process {
public:
    /// Starts it and waits until it listens. Throws `std::runtime_error` if it does not.
    limited_process(process_kind, const std::string& daemon);
    ~limited_process();
    limited_process(const limited_process&) = delete;
    limited_process& operator=(const limited_process&) = delete;

    bool isRunning() { return m_process.isRunning(); }
    /// 0 if the process has ended.
    std::size_t residentBytes() const;
    std::size_t openDescriptors() const;

    /// Listens for clients, operators or the worker.
    static address door();
    static address readyDoor();
    static address metricsDoor();
    static address frameDoor();

private:
    std::filesystem::path m_folder;
    child_process m_process;
};

} // namespace poplardeal::soak
