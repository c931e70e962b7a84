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
    Milliseconds timeout{5000}; ///< Time limit of a publication; its outcome is then NotFresh or Unknown.
    Milliseconds retryDelay{100}; ///< Delay before reading back or writing again.
};

/** An operator's request to publish a note. */
struct Publication
{
    uint64_t token = 0; ///< Identifies the HTTP request.
    ReleaseNote note;
    /** Retries the write after a lost race. Set for domain state changes, which apply to any base version. */
    bool retryOnConflict = false;
};

enum class PublicationOutcome {
    Accepted,
    Conflict, ///< Another note was published first.
    Refused, ///< The note can't be applied to the current catalog.
    NotFresh, ///< Timed out before a write was sent, for lack of fresh evidence.
    Unknown, ///< No answer until the timeout; the note may have been committed or may still be.
};

struct PublicationResult
{
    Publication publication;
    PublicationOutcome outcome = PublicationOutcome::Unknown;
    int64_t version = 0; ///< Accepted: the note's version. Conflict: the version published instead.
    std::string message; ///< Refused: the error, with its remedy.
    bool notFound = false; ///< Refused: the note changes or withdraws something that doesn't exist.
    MonotonicTime committedBy; ///< Accepted: upper bound of the commit time.
};

/**
 * Publishes notes one at a time, by compare-and-set on the head row of the note.
 *
 * Each publication carries a nonce, so that reading back identifies a commit whose answer was lost.
 */
class NotePublisher
{
public:
    NotePublisher(std::string incarnation, PublisherTiming timing);

    void submit(Publication publication, MonotonicTime now);

    /** Returns the next call to the table service, if one is due. */
    std::optional<TableRequest> nextRequest(const ClusterStateTracker &clusterState, MonotonicTime now);

    /** Handles the result of the last call. */
    void onResult(const TableResult &result, MonotonicTime now);

    /** Returns the publications that have ended since the last call of this function. */
    std::vector<PublicationResult> takeResults();

private:
    enum class Step { Write, Writing, ReadBack, ReadingBack };

    struct QueuedPublication
    {
        Publication publication;
        Step step = Step::Write;
        MonotonicTime deadline;
        MonotonicTime nextAttemptAt;
        std::string nonce;
        NoteHead base; ///< Head that the write requires to be unchanged.
        bool sent = false; ///< A write was sent and may have been committed.
    };

    std::optional<TableRequest>
    startWrite(QueuedPublication &current, const ClusterStateTracker &clusterState, MonotonicTime now);
    void onReadBack(const TableResult &result, MonotonicTime now);
    void finish(PublicationOutcome outcome, int64_t version, std::string message = {}, bool notFound = false);

    const std::string incarnation_;
    const PublisherTiming timing_;
    std::deque<QueuedPublication> queue_; ///< The first one is in progress.
    int64_t publicationCount_ = 0;
    std::vector<PublicationResult> results_;
    MonotonicTime lastNow_;
};

} // namespace marjoramferry
