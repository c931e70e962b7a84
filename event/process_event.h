#pragma once

#include "core/time.h"

/** Events and commands of the life of a process. */
namespace marjoramferry {

/** Time has passed. */
struct Tick
{
};

/** The machine runs again after it was suspended. */
struct MachineResumed
{
    Milliseconds suspended{0}; ///< For how long.
};

struct DrainRequested
{
};

/** Ends the process. */
struct Stop
{
};

} // namespace marjoramferry
