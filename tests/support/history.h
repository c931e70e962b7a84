#pragma once

#include "core/time.h"
#include "version/catalog.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marjoramferry::testing {

/** A submitted job and its response. */
struct Submission
{
    std::string jobId;
    std::string body;
    std::string entry;
    MonotonicTime at;
    int deadlineMs = 0;
    bool entrySurvived = true; ///< False if the entry crashed, so that the caller sees a closed connection.
    std::optional<MonotonicTime> answeredAt;
    int status = 0;
    std::string answer;
};

/** A task start observed at an endpoint. */
struct ObservedStart
{
    std::string jobId;
    std::string taskId;
    std::string service;
    std::string endpoint;
    std::string domain;
    MonotonicTime at;
    bool isClaimed = true; ///< The job's claim was committed at the table service before the start.
};

/** A catalog and the time at which the table service committed it. */
struct ObservedCatalog
{
    Catalog catalog;
    MonotonicTime at;
};

/** The time at which an endpoint announced to its agent that it is leaving. */
struct ObservedDeparture
{
    std::string endpoint;
    MonotonicTime at;
};

/** The catalog version of a node after it handled an event. */
struct ObservedVersion
{
    std::string node; ///< Name of the node's incarnation.
    int64_t version = 0;
};

/** Everything observable from outside in one run, with timestamps. */
struct History
{
    std::vector<Submission> submissions;
    std::vector<ObservedStart> starts;
    std::vector<ObservedCatalog> catalogs;
    std::vector<ObservedDeparture> departures;
    std::vector<ObservedVersion> versions;
    MonotonicTime endedAt;
};

struct CheckBounds
{
    Milliseconds catalogPropagation{2100}; ///< From the commit of a release note to the last start that violates it.
    /** From an endpoint's departure to its last start: announcement interval, freshness bound and margin. */
    Milliseconds departurePropagation{500 + 2000 + 100};
    Milliseconds responseDelay{1000}; ///< From a job's deadline to its response.
    bool allJobsComplete = false; ///< For runs whose faults must not fail any job.
};

/** Checks the system's invariants and returns a description of each violation. */
std::vector<std::string> findViolations(const History &history, const CheckBounds &bounds);

} // namespace marjoramferry::testing
