#pragma once

#include <messages_types.h>

namespace marjoramferry {

/** An amount of resources: the demand of a running task, or the capacity of a worker. */
struct Demand
{
    int cpuMillis = 0; ///< Thousandths of a core.
    int memoryMb = 0;
    int accelerators = 0;

    bool operator==(const Demand &) const = default;

    Demand operator+(const Demand &other) const
    {
        return {cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, accelerators + other.accelerators};
    }

    Demand operator-(const Demand &other) const
    {
        return {cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, accelerators - other.accelerators};
    }

    bool fitsIn(const Demand &available) const
    {
        return cpuMillis <= available.cpuMillis && memoryMb <= available.memoryMb
            && accelerators <= available.accelerators;
    }
};

inline Demand fromWire(const wire::Demand &demand)
{
    return {demand.cpuMillis, demand.memoryMb, demand.accelerators};
}

inline wire::Demand toWire(const Demand &demand)
{
    wire::Demand result;
    result.cpuMillis = demand.cpuMillis;
    result.memoryMb = demand.memoryMb;
    result.accelerators = demand.accelerators;
    return result;
}

} // namespace marjoramferry
