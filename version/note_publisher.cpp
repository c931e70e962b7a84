#include "version/note_publisher.h"

#include "core/error.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace marjoramferry {

namespace {

/** Number of catalog versions kept for entries that lag behind. */
constexpr int64_t KeptCatalogVersions = 20;

} // namespace

NotePublisher::NotePublisher(std::string incarnation, PublisherTiming timing)
    : incarnation_(std::move(incarnation))
    , timing_(timing)
{
}

void NotePublisher::submit(Publication publication, MonotonicTime now)
{
    QueuedPublication current;
    current.publication = std::move(publication);
    current.deadline = now + timing_.timeout;
    current.nonce = absl::StrCat(incarnation_, "-", ++publicationCount_);
    queue_.push_back(std::move(current));
}

std::optional<TableRequest> NotePublisher::nextRequest(const ClusterStateTracker &clusterState, MonotonicTime now)
{
    lastNow_ = now;
    if (queue_.empty() || now < queue_.front().nextAttemptAt) {
        return std::nullopt;
    }
    QueuedPublication &current = queue_.front();
    if (now >= current.deadline && (current.step == Step::Write || current.step == Step::ReadBack)) {
        finish(current.sent ? PublicationOutcome::Unknown : PublicationOutcome::NotFresh, 0);
        return std::nullopt;
    }
    switch (current.step) {
    case Step::Write:
        return startWrite(current, clusterState, now);
    case Step::ReadBack:
        current.step = Step::ReadingBack;
        return TableRead{Catalog::keyOf(current.base.version + 1)};
    default:
        return std::nullopt;
    }
}

std::optional<TableRequest>
NotePublisher::startWrite(QueuedPublication &current, const ClusterStateTracker &clusterState, MonotonicTime now)
{
    if (!clusterState.isFresh(now)) {
        // Wait until the deadline instead of failing on every short outage.
        current.nextAttemptAt = now + timing_.retryDelay;
        return std::nullopt;
    }
    if (current.sent && clusterState.noteHead().version > current.base.version) {
        // The version that this note was written for exists by now; read back whether it is this note.
        current.step = Step::ReadBack;
        return std::nullopt;
    }
    try {
        Catalog next = current.publication.note.appliedTo(clusterState.catalog());
        next.nonce = current.nonce;
        current.base = clusterState.noteHead();
        current.step = Step::Writing;
        current.sent = true;
        TableTransaction transaction;
        transaction.conditions.push_back(RowCondition{rows::NoteHead, current.base.rowVersion});
        transaction.puts.push_back(RowPut{rows::NoteHead, NoteHead{next.version, 0, current.nonce}.toJson()});
        transaction.puts.push_back(RowPut{Catalog::keyOf(next.version), next.toJson()});
        if (next.version > KeptCatalogVersions) {
            transaction.deletes.push_back(Catalog::keyOf(next.version - KeptCatalogVersions));
        }
        return transaction;
    } catch (const Error &error) {
        const bool isVersionConflict
            = error.kind() == ErrorKind::Conflict && current.publication.note.baseVersion.has_value();
        finish(isVersionConflict ? PublicationOutcome::Conflict : PublicationOutcome::Refused,
               clusterState.catalog().version,
               error.what(),
               error.kind() == ErrorKind::NotFound);
        return std::nullopt;
    }
}

void NotePublisher::onResult(const TableResult &result, MonotonicTime now)
{
    lastNow_ = now;
    if (queue_.empty()) {
        return;
    }
    QueuedPublication &current = queue_.front();
    if (current.step == Step::ReadingBack) {
        onReadBack(result, now);
        return;
    }
    if (result.outcome == TableOutcome::Done) {
        finish(PublicationOutcome::Accepted, current.base.version + 1);
        return;
    }
    // A conflict can be with our own earlier attempt whose answer was lost; read which note was committed.
    current.step = Step::ReadBack;
    current.nextAttemptAt = result.outcome == TableOutcome::Conflict ? now : now + timing_.retryDelay;
}

void NotePublisher::onReadBack(const TableResult &result, MonotonicTime now)
{
    QueuedPublication &current = queue_.front();
    current.step = Step::ReadBack;
    current.nextAttemptAt = now + timing_.retryDelay;
    if (result.outcome != TableOutcome::Done) {
        return;
    }
    const int64_t version = current.base.version + 1;
    const auto row = std::ranges::find(result.rows, Catalog::keyOf(version), &Row::key);
    if (row == result.rows.end()) {
        // Not committed yet. Writing it again is safe: its condition lets only one attempt commit.
        current.step = Step::Write;
        return;
    }
    if (Catalog::fromJson(row->value).nonce == current.nonce) {
        finish(PublicationOutcome::Accepted, version);
        return;
    }
    // Another note was committed as this version, so the earlier write can no longer be committed.
    if (!current.publication.retryOnConflict) {
        finish(PublicationOutcome::Conflict, version);
        return;
    }
    current.sent = false;
    current.step = Step::Write;
}

std::vector<PublicationResult> NotePublisher::takeResults()
{
    return std::exchange(results_, {});
}

void NotePublisher::finish(PublicationOutcome outcome, int64_t version, std::string message, bool notFound)
{
    PublicationResult result;
    result.publication = std::move(queue_.front().publication);
    result.outcome = outcome;
    result.version = version;
    result.message = std::move(message);
    result.notFound = notFound;
    result.committedBy = lastNow_;
    queue_.pop_front();
    results_.push_back(std::move(result));
}

} // namespace marjoramferry
