#pragma once

/** Events and commands of the life of a process. */
namespace marjoramferry {

/** Time has passed. */
struct Tick
{
};

struct DrainRequested
{
};

/** Ends the process. */
struct Stop
{
};

} // namespace marjoramferry
