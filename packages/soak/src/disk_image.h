#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace poplardeal::soak {

/// What a loss of power would leave of a folder. The end of a process leaves the folder as it is, and what is not
/// synced by then stays so.
///
/// The record of recorder/disk_recorder.cpp is a sequence of "KIND SIZE1 SIZE2\n" and two strings of these sizes, each
/// of a completed operation: `c` name (creation), `w` name bytes (append), `s` name (sync of its bytes), `t` name size
/// (truncation), `r` old name, new name (rename), `u` name (removal), `d` (sync of the folder's names).
class disk_image {
public:
    disk_image(std::filesystem::path folder, std::filesystem::path record);

    /// While it lives, no operation is between its effect and its record. Its process must not be stopped.
    class hold {
    public:
        explicit hold(const std::filesystem::path& record);
        ~hold();
        hold(const hold&) = delete;
        hold& operator=(const hold&) = delete;

    private:
        int m_descriptor;
    };
    hold holdOperations() const { return hold(m_record); }

    /// Takes in what was recorded since the last call. Throws `std::runtime_error` if the record makes no sense.
    void update();
    /// Bytes or names.
    bool hasUnsynced() const;
    /// Where the folder differs from its record; empty if it does not. For a folder without a running process.
    std::string difference() const;
    /// Replaces the folder by what a loss of power leaves: unsynced bytes are kept, lost, cut or zeros, and each
    /// unsynced creation, rename and removal is kept or lost. For a folder without a running process.
    void losePower(std::mt19937_64& random);
    /// Replaces the folder by an empty one.
    void wipe();

private:
    struct file {
        std::string bytes;
        std::size_t synced { 0 };
        std::string uncut; ///< Synced bytes before a truncation that is not synced.
    };
    using directory = std::map<std::string, std::shared_ptr<file>>;
    /// An unsynced change of names. Either name may be empty.
    struct change {
        std::string from;
        std::string to;
        std::shared_ptr<file> target;
    };

    void take(char kind, const std::string& first, std::string_view second);
    static void apply(const change&, directory&);

    std::filesystem::path m_folder;
    std::filesystem::path m_record;
    std::uintmax_t m_recordRead { 0 };
    directory m_current;
    directory m_synced;
    std::vector<change> m_unsynced;
};

} // namespace poplardeal::soak
