#pragma once

#include <poplardeal/base/strong.h>

namespace poplardeal {

using cores = quantity<struct cores_tag>;
using mebibytes = quantity<struct mebibytes_tag>;
using accelerators = quantity<struct accelerators_tag>;
using byte_count = quantity<struct byte_count_tag>;

/// Amounts of the three resources of a worker.
struct resources {
    cores cpu;
    mebibytes memory;
    accelerators accelerator;

    friend bool operator==(const resources&, const resources&) = default;
    constexpr resources& operator+=(const resources& other)
    {
        cpu += other.cpu;
        memory += other.memory;
        accelerator += other.accelerator;
        return *this;
    }
    constexpr resources& operator-=(const resources& other)
    {
        cpu -= other.cpu;
        memory -= other.memory;
        accelerator -= other.accelerator;
        return *this;
    }

    /// True if every amount is at most the amount in `available`.
    constexpr bool fitsIn(const resources& available) const
    {
        return cpu <= available.cpu && memory <= available.memory && accelerator <= available.accelerator;
    }
};

} // namespace poplardeal
