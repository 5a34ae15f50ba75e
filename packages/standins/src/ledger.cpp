#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <poplardeal/standins/ledger.h>
#include <unistd.h>

namespace poplardeal {

result<ledger_sink> openLedger(const std::string& path)
{
    if (path.empty())
        return ledger_sink([](const nlohmann::json&) {});
    constexpr int ownerWrites = 0644;
    const int descriptor = ::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, ownerWrites);
    if (descriptor < 0)
        return failure { failure_code::io_error, path + ": " + std::strerror(errno) };
    const std::shared_ptr<const int> file(new int(descriptor), [](const int* held) {
        ::close(*held);
        delete held;
    });
    return ledger_sink([file](const nlohmann::json& record) {
        const auto line = record.dump() + "\n";
        // One write for each line keeps the lines of several processes apart. A short write means a full disk; the
        // checks that read the ledger then fail on the cut line.
        [[maybe_unused]] const auto written = ::write(*file, line.data(), line.size());
    });
}

} // namespace poplardeal
