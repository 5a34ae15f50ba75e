#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace poplardeal {

/// How a verb ended; the exit code of `poplardeal`.
enum class exit_code {
    done = 0,
    refused = 1, ///< Refused, and certainly not run.
    bad_input = 2,
    may_have_run = 3,
};

/// Runs one command line, without the program's name. What was asked for goes to `out`, errors and notes to `err`.
///
///     return static_cast<int>(runClient({ "status", "--json" }, std::cout, std::cerr));
exit_code runClient(const std::vector<std::string>& words, std::ostream& out, std::ostream& err);

} // namespace poplardeal
