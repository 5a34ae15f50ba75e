#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <poplardeal/base/units.h>
#include <poplardeal/deployment/limits.h>
#include <poplardeal/deployment/model.h>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace poplardeal {

using gibibytes = quantity<struct gibibytes_tag>;

/// Amounts with their unit: `32_cores`, `64_gib`, `8_accelerators`. A sum of different units does not compile.
namespace plan_literals {
    constexpr cores operator""_cores(unsigned long long count) { return cores(static_cast<std::int64_t>(count)); }
    constexpr gibibytes operator""_gib(unsigned long long count) { return gibibytes(static_cast<std::int64_t>(count)); }
    constexpr accelerators operator""_accelerators(unsigned long long count)
    {
        return accelerators(static_cast<std::int64_t>(count));
    }
} // namespace plan_literals

namespace detail {
    /// Called in a constant expression, it stops the compilation: the argument names the mistake.
    void mistakeInPlan(const char* reason);
} // namespace detail

/// A name. A literal with characters that are not allowed does not compile; a name made at run time, for instance in a
/// loop, goes through `madeName` and is checked by `plan::print`.
class plan_name {
public:
    template <std::size_t Size>
    // NOLINTNEXTLINE(google-explicit-constructor): a literal stands for a name.
    consteval plan_name(const char (&literal)[Size])
    {
        const std::string_view text(literal, Size - 1);
        if (text.empty() || text.size() > limits::nameBytes)
            detail::mistakeInPlan("a name has 1 to 63 characters");
        if (!isAlphanumeric(text.front()))
            detail::mistakeInPlan("a name starts with a letter or a digit");
        for (const char c : text) {
            if (!isAlphanumeric(c) && c != '-' && c != '_' && c != '.')
                detail::mistakeInPlan("a name holds only letters, digits, '-', '_' and '.'");
        }
        keep(text);
    }

    std::string text() const { return { m_text.data(), m_size }; }

private:
    friend plan_name madeName(std::string_view);
    plan_name() = default;
    static consteval bool isAlphanumeric(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    }
    /// Keeps one character more than is allowed, so that a longer name is still known as too long.
    constexpr void keep(std::string_view text)
    {
        m_size = std::min(text.size(), m_text.size());
        std::copy_n(text.begin(), m_size, m_text.begin());
    }

    std::array<char, limits::nameBytes + 1> m_text {};
    std::size_t m_size { 0 };
};

/// A name that is only known at run time.
///
///     mine.addWorkers(kariakoo, { .rack = madeName("kariakoo-r" + std::to_string(i)), ... });
plan_name madeName(std::string_view);

/// A field of a specification that has to be given: leaving it out does not compile, nor does a narrowing value.
template <class T> class required {
public:
    template <class From>
    requires std::is_convertible_v<From, T> && requires(From&& value) { T { std::forward<From>(value) }; }
    // NOLINTNEXTLINE(google-explicit-constructor): the field stands for its value.
    constexpr required(const From& value)
        : m_value(value)
    {
    }
    constexpr const T& value() const { return m_value; }

private:
    T m_value;
};

/// Time of day in UTC. `at(25, 0)` does not compile.
class time_of_day {
public:
    constexpr std::chrono::minutes sinceMidnight() const { return m_sinceMidnight; }

private:
    friend consteval time_of_day at(int hour, int minute);
    explicit consteval time_of_day(std::chrono::minutes sinceMidnight)
        : m_sinceMidnight(sinceMidnight)
    {
    }
    std::chrono::minutes m_sinceMidnight;
};

consteval time_of_day at(int hour, int minute)
{
    if (hour < 0 || hour > 23 || minute < 0 || minute > 59)
        detail::mistakeInPlan("a time of day lies between 0:00 and 23:59");
    return time_of_day(std::chrono::hours(hour) + std::chrono::minutes(minute));
}

/// Size of a block of adjacent accelerators of one worker: 1, 2, 4, 8 and so on. Other sizes do not compile.
class block_size {
public:
    // NOLINTNEXTLINE(google-explicit-constructor): an amount of accelerators stands for a block.
    consteval block_size(accelerators size)
        : m_size(size)
    {
        const auto count = size.count();
        if (count < 1 || count > limits::workerAccelerators || (count & (count - 1)) != 0)
            detail::mistakeInPlan("a block has 1, 2, 4, 8, 16, 32 or 64 accelerators");
    }
    constexpr accelerators size() const { return m_size; }

private:
    accelerators m_size;
};

/// Within which part of the resource tree all blocks of a guarantee lie.
enum class block_scope {
    worker,
    rack,
    data_centre,
};

class plan;

/// Handles of what was added to a plan. They come from the plan only, and a handle of one kind is not taken for
/// another.
template <class Tag> class plan_handle {
public:
    plan_handle(const plan_handle&) = default;
    plan_handle& operator=(const plan_handle&) = default;

private:
    friend plan;
    plan_handle(const plan* owner, std::size_t index)
        : m_owner(owner)
        , m_index(index)
    {
    }
    const plan* m_owner;
    std::size_t m_index;
};
using region_handle = plan_handle<struct region_handle_tag>;
using data_centre_handle = plan_handle<struct data_centre_handle_tag>;
using workspace_handle = plan_handle<struct workspace_handle_tag>;

/// Equal workers of one rack.
struct workers_spec {
    plan_name rack;
    required<std::int64_t> count;
    required<cores> cpu;
    required<gibibytes> memory;
    required<accelerators> accelerator;
};

/// Upper bound on what the running jobs of a workspace hold together.
struct quota_spec {
    required<cores> cpu;
    required<gibibytes> memory;
    required<accelerators> accelerator;
};

/// `blocks` blocks of adjacent accelerators that can always be had, `count` times.
struct guarantee_spec {
    required<std::int64_t> blocks;
    block_size of;
    required<block_scope> within;
    std::int64_t count { 1 };
};

/// What a workspace may submit. The amounts are those of each task.
struct job_spec {
    plan_name name;
    std::int64_t tasks { 1 };
    required<cores> cpu;
    required<gibibytes> memory;
    accelerators accelerator { 0 };
    scope within { scope::anywhere };
    job_priority priority { job_priority::borrowed };
    required<std::chrono::seconds> runTime; ///< Declared; it may be wrong, the placement copes with 10x.
    std::int64_t maxRestarts { 3 };
    required<std::string> command; ///< Handed to the worker as it is.
};

struct service_spec {
    plan_name name;
    std::int64_t slots { 8 };
    std::int64_t connections { 64 };
};

/// A line of the supervisor's program.
struct program_line {
    const char* file;
    unsigned line;

    /// The line of the caller of the function that has this as a default argument.
    static constexpr program_line current(const char* file = __builtin_FILE(), unsigned line = __builtin_LINE())
    {
        return { file, line };
    }
};

/// A deployment in the making. Mistakes that the compiler cannot see are collected with the line of the supervisor's
/// program that made them, and `print` reports all of them.
///
///     using namespace poplardeal;
///     using namespace poplardeal::plan_literals;
///     int main()
///     {
///         plan mine("tz-coast");
///         const auto coast = mine.addRegion("tz-coast");
///         const auto kariakoo = mine.addDataCentre(coast, "kariakoo");
///         mine.addWorkers(kariakoo,
///             { .rack = "kariakoo-r1", .count = 3, .cpu = 128_cores, .memory = 256_gib, .accelerator = 8_accelerators
///             });
///         const auto checks = mine.addWorkspace(
///             "condition-checks", { .cpu = 512_cores, .memory = 1024_gib, .accelerator = 32_accelerators });
///         mine.guarantee(checks, { .blocks = 2, .of = 8_accelerators, .within = block_scope::rack });
///         return mine.print();
///     }
class plan {
public:
    using location = program_line;

    explicit plan(plan_name name);
    plan(const plan&) = delete; // Handles point to their plan.
    plan& operator=(const plan&) = delete;

    region_handle addRegion(plan_name, location = location::current());
    data_centre_handle addDataCentre(region_handle, plan_name, location = location::current());
    void takeOutOfService(data_centre_handle, location = location::current());
    void addWorkers(data_centre_handle, const workers_spec&, location = location::current());

    /// Daily. Without any break, changes are accepted at any time.
    void addBreak(time_of_day start, std::chrono::minutes length, location = location::current());

    workspace_handle addWorkspace(plan_name, const quota_spec&, location = location::current());
    void guarantee(workspace_handle, const guarantee_spec&, location = location::current());
    void addJob(workspace_handle, const job_spec&, location = location::current());
    void addService(workspace_handle, const service_spec&, location = location::current());

    /// The deployment as far as it was built.
    const deployment& current() const { return m_deployment; }

    /// All mistakes so far, one line each: "FILE:LINE: SUBJECT: reason".
    std::vector<std::string> mistakes() const;

    /// Writes the TOML to `out` and returns 0; or, if there are mistakes, only these to `errors` and returns 2.
    int print(std::ostream& out, std::ostream& errors) const;
    /// The same to standard output and standard error; the return value is that of `main`.
    int print() const;

private:
    template <class Tag> bool isMine(plan_handle<Tag>, const std::string& subject, const location&);
    void expect(bool holds, const location&, const std::string& subject, const std::string& reason);
    template <class Entry>
    void expectNewName(const std::vector<Entry>&, const std::string& name, const std::string& subject, const location&);
    void expectAmount(std::int64_t amount, std::int64_t low, std::int64_t high, const std::string& what,
        const std::string& subject, const location&);

    deployment m_deployment;
    std::vector<std::string> m_mistakes;
};

} // namespace poplardeal
