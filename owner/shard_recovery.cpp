#include "owner/shard_recovery.h"

#include "core/error.h"
#include "version/json_fields.h"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <limits>
#include <ranges>
#include <utility>

namespace marjoramferry {

using nlohmann::json;

std::string AgentRow::toJson() const
{
    return json{{"incarnation", incarnation}, {"restarted", restarted}, {"left", deregistered}}.dump();
}

AgentRow AgentRow::fromJson(const Row &row)
{
    const json parsed = parseJson(row.value, row.key);
    try {
        return AgentRow{parsed.at("incarnation").get<std::string>(),
                        parsed.at("restarted").get<bool>(),
                        parsed.at("left").get<bool>()};
    } catch (const json::exception &failure) {
        throw Error(ErrorKind::Malformed, row.key, failure.what(), "see docs/OPERATIONS.md, damaged rows");
    }
}

std::string AgentRow::keyOf(const std::string &agent)
{
    return rows::AgentPrefix + agent;
}

ShardRecovery::ShardRecovery(int64_t requestId,
                             std::vector<wire::ShardEpoch> shards,
                             const std::set<std::string> &predecessors,
                             MonotonicTime startedAt,
                             Milliseconds timeout)
    : requestId_(requestId)
    , shards_(std::move(shards))
    , startedAt_(startedAt)
    , timeout_(timeout)
{
    if (predecessors.empty()) {
        return;
    }
    prefixes_.emplace_back(rows::AgentPrefix);
    std::ranges::transform(predecessors, std::back_inserter(prefixes_), &ClaimLog::claimPrefix);
}

void ShardRecovery::advance(const AgentDirectory &directory, MonotonicTime now, EntryOutbox &out)
{
    if (isDone(now)) {
        return;
    }
    if (!reading_) {
        readNext(out);
    }
    for (const AgentView &agent : directory.all() | std::views::values) {
        if (agent.registration == 0 || !fencedLinks_.insert(agent.link).second) {
            continue;
        }
        wire::Fence fence;
        fence.requestId = requestId_;
        fence.epochs = shards_;
        out.add(SendToLink{agent.link, std::move(fence)});
    }
}

void ShardRecovery::readNext(EntryOutbox &out)
{
    if (prefixes_.empty()) {
        return;
    }
    reading_ = true;
    out.add(TableCall{TableCaller::Recovery, requestId_, TableRead{prefixes_.back()}});
}

void ShardRecovery::onTableResult(const TableResult &result, EntryOutbox &out)
{
    reading_ = false;
    if (result.outcome != TableOutcome::Done || prefixes_.empty()) {
        return;
    }
    // Parse all rows before storing any: a malformed row throws, and the prefix is then read again.
    std::map<std::string, StoredAgent> agents;
    std::vector<StoredClaim> claims;
    const bool isAgentPrefix = prefixes_.back() == rows::AgentPrefix;
    for (const Row &row : result.rows) {
        if (isAgentPrefix) {
            const std::string name = row.key.substr(std::string_view(rows::AgentPrefix).size());
            agents[name] = StoredAgent{AgentRow::fromJson(row), row.version};
            continue;
        }
        for (Claim &claim : ClaimLog::parseRow(row)) {
            claims.push_back(StoredClaim{std::move(claim), row.version});
        }
    }
    prefixes_.pop_back();
    agents_.merge(agents);
    std::ranges::move(claims, std::back_inserter(claims_));
    readNext(out);
}

void ShardRecovery::onStartRecords(const wire::StartRecords &reply)
{
    if (reply.requestId == requestId_) {
        answers_[reply.agent] = reply;
    }
}

bool ShardRecovery::hasAllRows() const
{
    return prefixes_.empty() && !reading_;
}

bool ShardRecovery::hasRecordsOf(const std::string &agent, const AgentRow &row) const
{
    const auto found = answers_.find(agent);
    return found != answers_.end() && found->second.incarnation == row.incarnation;
}

bool ShardRecovery::isDone(MonotonicTime now) const
{
    if (!hasAllRows()) {
        return false;
    }
    if (now >= startedAt_ + timeout_) {
        return true;
    }
    return std::ranges::all_of(agents_, [&](const auto &entry) {
        return entry.second.row.deregistered || hasRecordsOf(entry.first, entry.second.row);
    });
}

int64_t ShardRecovery::lastRecordLossVersion() const
{
    // No agent lost its start records after this version, so the records of later claims are complete.
    int64_t version = 0;
    for (const auto &[name, agent] : agents_) {
        const bool isMissing = !agent.row.deregistered && !hasRecordsOf(name, agent.row);
        if (isMissing) {
            return std::numeric_limits<int64_t>::max();
        }
        if (agent.row.deregistered || agent.row.restarted) {
            version = std::max(version, agent.version);
        }
    }
    return version;
}

RecoveredShards ShardRecovery::result() const
{
    RecoveredShards recovered;
    std::ranges::transform(shards_, std::back_inserter(recovered.shards), &wire::ShardEpoch::shard);
    const absl::flat_hash_set<int> wanted(recovered.shards.begin(), recovered.shards.end());
    const int64_t lossVersion = lastRecordLossVersion();
    for (const StoredClaim &stored : claims_) {
        if (!wanted.contains(stored.claim.shard)) {
            continue;
        }
        const auto [entry, isNew] = recovered.jobs.try_emplace(stored.claim.jobId);
        RecoveredJob &job = entry->second;
        job.fingerprint = stored.claim.fingerprint;
        job.ended = job.ended || stored.claim.ended;
        job.hasAllRecords = (isNew || job.hasAllRecords) && stored.version > lossVersion;
    }
    for (const auto &[agent, answer] : answers_) {
        for (const wire::StartRecord &record : answer.records) {
            // A start without a claim must not occur; if one does, the job is still recovered.
            RecoveredJob &job = recovered.jobs[record.jobId];
            job.starts[record.taskId] = RecoveredStart{agent, answer.incarnation, record};
        }
    }
    return recovered;
}

} // namespace marjoramferry
