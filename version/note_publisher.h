#pragma once

#include "core/table.h"
#include "core/time.h"
#include "version/cluster_state_tracker.h"
#include "version/release_note.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace marjoramferry {

struct PublisherTiming
{
    Milliseconds patience{5000}; ///< How long a publication may take before it is answered as unknown.
    Milliseconds retry{100}; ///< Pause before reading back or writing again.
};

/** An operator's call that publishes a note. */
struct Publication
{
    uint64_t token = 0; ///< Of the HTTP request.
    ReleaseNote note;
    /** True for taking a domain out or in: it holds against any base, so it is written again after a lost race. */
    bool retryOnConflict = false;
};

enum class PublicationOutcome {
    Accepted,
    Conflict, ///< Another note won.
    Refused, ///< The note doesn't fit the catalog in force.
    NotFresh, ///< Nothing was written.
    Unknown, ///< It may be accepted, now or a little later.
};

struct PublicationResult
{
    Publication publication;
    PublicationOutcome outcome = PublicationOutcome::Unknown;
    int64_t version = 0; ///< Accepted: the note's version. Conflict: the version that won.
    std::string message; ///< Refused: what is wrong and what to do.
    bool notFound = false; ///< Refused: the note names what is not there.
    MonotonicTime committedBy; ///< Accepted: the commit was not later than this.
};

/**
 * Publishes notes by compare-and-set on the note row, one at a time.
 *
 * Each publication carries a nonce, so that a commit whose answer was lost is found by reading back.
 */
class NotePublisher
{
public:
    NotePublisher(std::string incarnation, PublisherTiming timing);

    void submit(Publication publication, MonotonicTime now);

    /** The next call to the table service, if one is due. */
    std::optional<TableRequest> nextRequest(const ClusterStateTracker &keeper, MonotonicTime now);

    /** Takes in the result of the last call. */
    void onResult(const TableResult &result, MonotonicTime now);

    /** Publications that have ended since the last call. */
    std::vector<PublicationResult> takeResults();

private:
    enum class Step { Write, Writing, ReadBack, ReadingBack };

    struct Current
    {
        Publication publication;
        Step step = Step::Write;
        MonotonicTime deadline;
        MonotonicTime nextAt;
        std::string nonce;
        NoteHead base; ///< What the write is conditional on.
        bool sent = false; ///< A write has gone out.
    };

    std::optional<TableRequest> startWrite(Current &current, const ClusterStateTracker &keeper, MonotonicTime now);
    void onReadBack(const TableResult &result, MonotonicTime now);
    void finish(PublicationOutcome outcome, int64_t version, std::string message = {}, bool notFound = false);

    const std::string incarnation_;
    const PublisherTiming timing_;
    std::deque<Current> waiting_; ///< The first one is being worked on.
    int64_t publications_ = 0;
    std::vector<PublicationResult> results_;
    MonotonicTime lastNow_;
};

} // namespace marjoramferry
