#include "version/note_publisher.h"

#include "core/error.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace marjoramferry {

namespace {

/** How many former catalogs stay readable for entries that lag behind. */
constexpr int64_t CatalogsKept = 20;

} // namespace

NotePublisher::NotePublisher(std::string incarnation, PublisherTiming timing)
    : incarnation_(std::move(incarnation))
    , timing_(timing)
{
}

void NotePublisher::submit(Publication publication, MonotonicTime now)
{
    Current current;
    current.publication = std::move(publication);
    current.deadline = now + timing_.patience;
    current.nonce = absl::StrCat(incarnation_, "-", ++publications_);
    waiting_.push_back(std::move(current));
}

std::optional<TableRequest> NotePublisher::nextRequest(const ClusterStateTracker &keeper, MonotonicTime now)
{
    lastNow_ = now;
    if (waiting_.empty() || now < waiting_.front().nextAt) {
        return std::nullopt;
    }
    Current &current = waiting_.front();
    if (now >= current.deadline && (current.step == Step::Write || current.step == Step::ReadBack)) {
        finish(current.sent ? PublicationOutcome::Unknown : PublicationOutcome::NotFresh, 0);
        return std::nullopt;
    }
    switch (current.step) {
    case Step::Write:
        return startWrite(current, keeper, now);
    case Step::ReadBack:
        current.step = Step::ReadingBack;
        return TableRead{Catalog::keyOf(current.base.version + 1)};
    default:
        return std::nullopt;
    }
}

std::optional<TableRequest>
NotePublisher::startWrite(Current &current, const ClusterStateTracker &keeper, MonotonicTime now)
{
    if (!keeper.isFresh(now)) {
        // Refusing at once would turn every short hiccup into an error; the deadline bounds the wait.
        current.nextAt = now + timing_.retry;
        return std::nullopt;
    }
    if (current.sent && keeper.noteHead().version > current.base.version) {
        // The version that was written for exists by now; it may be this very note.
        current.step = Step::ReadBack;
        return std::nullopt;
    }
    try {
        Catalog next = current.publication.note.appliedTo(keeper.catalog());
        next.nonce = current.nonce;
        current.base = keeper.noteHead();
        current.step = Step::Writing;
        current.sent = true;
        TableTransaction transaction;
        transaction.conditions.push_back(RowCondition{rows::NoteHead, current.base.rowVersion});
        transaction.puts.push_back(RowPut{rows::NoteHead, NoteHead{next.version, 0, current.nonce}.toJson()});
        transaction.puts.push_back(RowPut{Catalog::keyOf(next.version), next.toJson()});
        if (next.version > CatalogsKept) {
            transaction.deletes.push_back(Catalog::keyOf(next.version - CatalogsKept));
        }
        return transaction;
    } catch (const Error &error) {
        const bool isRace = error.kind() == ErrorKind::Conflict && current.publication.note.baseVersion.has_value();
        finish(isRace ? PublicationOutcome::Conflict : PublicationOutcome::Refused,
               keeper.catalog().version,
               error.what(),
               error.kind() == ErrorKind::NotFound);
        return std::nullopt;
    }
}

void NotePublisher::onResult(const TableResult &result, MonotonicTime now)
{
    lastNow_ = now;
    if (waiting_.empty()) {
        return;
    }
    Current &current = waiting_.front();
    if (current.step == Step::ReadingBack) {
        onReadBack(result, now);
        return;
    }
    if (result.outcome == TableOutcome::Done) {
        finish(PublicationOutcome::Accepted, current.base.version + 1);
        return;
    }
    // A conflict may be with our own write, repeated after its answer was lost: read who won.
    current.step = Step::ReadBack;
    current.nextAt = result.outcome == TableOutcome::Conflict ? now : now + timing_.retry;
}

void NotePublisher::onReadBack(const TableResult &result, MonotonicTime now)
{
    Current &current = waiting_.front();
    current.step = Step::ReadBack;
    current.nextAt = now + timing_.retry;
    if (result.outcome != TableOutcome::Done) {
        return;
    }
    const int64_t version = current.base.version + 1;
    const auto row = std::ranges::find(result.rows, Catalog::keyOf(version), &Row::key);
    if (row == result.rows.end()) {
        // Not in force yet. Writing it again is safe: the condition lets only one of the two through.
        current.step = Step::Write;
        return;
    }
    if (Catalog::fromJson(row->value).nonce == current.nonce) {
        finish(PublicationOutcome::Accepted, version);
        return;
    }
    // Another note took the version that this one was for, so that write can't take effect any more.
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
    result.publication = std::move(waiting_.front().publication);
    result.outcome = outcome;
    result.version = version;
    result.message = std::move(message);
    result.notFound = notFound;
    result.committedBy = lastNow_;
    waiting_.pop_front();
    results_.push_back(std::move(result));
}

} // namespace marjoramferry
