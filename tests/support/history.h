#pragma once

#include "core/time.h"
#include "version/catalog.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marjoramferry::testing {

/** A caller's submission and what came of it. */
struct Submission
{
    std::string jobId;
    std::string body;
    std::string entry;
    MonotonicTime at;
    int deadlineMs = 0;
    bool entryLived = true; ///< False when the entry that held it died: the caller sees a broken connection.
    std::optional<MonotonicTime> answeredAt;
    int status = 0;
    std::string answer;
};

/** A start as the endpoint saw it. */
struct SeenStart
{
    std::string jobId;
    std::string taskId;
    std::string service;
    std::string endpoint;
    std::string domain;
    MonotonicTime at;
    bool claimed = true; ///< The job's claim stood at the table service.
};

/** A catalog from the moment at which the table service committed it. */
struct SeenCatalog
{
    Catalog catalog;
    MonotonicTime at;
};

/** An endpoint that said to its agent that it leaves. */
struct SeenLeaving
{
    std::string endpoint;
    MonotonicTime at;
};

/** A node's catalog version, each time that it changed. */
struct SeenVersion
{
    std::string node; ///< With its incarnation.
    int64_t version = 0;
};

/** All that can be seen of a run from outside, with times. */
struct History
{
    std::vector<Submission> submissions;
    std::vector<SeenStart> starts;
    std::vector<SeenCatalog> catalogs;
    std::vector<SeenLeaving> leavings;
    std::vector<SeenVersion> versions;
    MonotonicTime endedAt;
};

struct CheckBounds
{
    Milliseconds inForce{2100}; ///< From a note's commit to the last start against it.
    /** From an endpoint's word that it leaves to its last start: pace of announcing, freshness bound, margin. */
    Milliseconds leaving{500 + 2000 + 100};
    Milliseconds answer{1000}; ///< From a job's deadline to its answer.
    bool everythingCompletes = false; ///< For runs in which nothing may fail a job.
};

/** The promises that a history breaks, in words; empty when it keeps them all. */
std::vector<std::string> findViolations(const History &history, const CheckBounds &bounds);

} // namespace marjoramferry::testing
