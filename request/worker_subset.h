#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace marjoramferry {

struct WorkerSubsetOptions
{
    size_t minWorkers = 16; ///< Enough for the widest jobs.
    /** Average number of entries that use a worker; with fewer, many workers would be in no entry's subset. */
    size_t entriesPerWorker = 3;
};

/** A worker that an entry may use. */
struct SubsetCandidate
{
    std::string agent;
    std::string domain; ///< Failure domain.
    double weight = 0; ///< Hash of entry and worker, from 0 to 1.

    bool operator==(const SubsetCandidate &) const = default;
};

/** Number of workers of a service that each entry exchanges heartbeats with, out of @p workers. */
size_t subsetSize(const WorkerSubsetOptions &options, size_t workers, size_t entries);

/**
 * Selects @p size workers by rendezvous hashing, so that a change of one worker changes at most one member. Half of
 * the subset is divided equally among the failure domains, and the rest goes by weight alone.
 *
 * Returns the agents in descending order of weight.
 */
std::vector<std::string> selectSubset(std::vector<SubsetCandidate> candidates, size_t size);

} // namespace marjoramferry
