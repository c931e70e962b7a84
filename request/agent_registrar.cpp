#include "request/agent_registrar.h"

#include <algorithm>

namespace marjoramferry {

namespace {

constexpr int MostInFlight = 8;
constexpr Milliseconds RetryPause{200};

} // namespace

void AgentRegistrar::request(const std::string &agent, const std::string &incarnation, bool left)
{
    const auto known = byAgent_.find(agent);
    if (known != byAgent_.end()) {
        const Entry &entry = entries_.at(known->second);
        if (entry.incarnation == incarnation && entry.left == left) {
            return;
        }
        if (entry.inFlight) {
            // Asked again with the agent's next heartbeat.
            return;
        }
        entries_.erase(known->second);
    }
    Entry entry;
    entry.agent = agent;
    entry.incarnation = incarnation;
    entry.left = left;
    byAgent_[agent] = ++lastId_;
    entries_[lastId_] = std::move(entry);
}

std::optional<Registration> AgentRegistrar::find(const std::string &agent, const std::string &incarnation) const
{
    const auto known = byAgent_.find(agent);
    if (known == byAgent_.end()) {
        return std::nullopt;
    }
    const Entry &entry = entries_.at(known->second);
    const bool isGranted = entry.step == Step::Done && !entry.left && entry.incarnation == incarnation;
    return isGranted ? std::optional(entry.registration) : std::nullopt;
}

void AgentRegistrar::advance(MonotonicTime now, EntryOutbox &out)
{
    for (auto &[id, entry] : entries_) {
        if (inFlight_ >= MostInFlight) {
            return;
        }
        if (entry.inFlight || entry.step == Step::Done || now < entry.nextAt) {
            continue;
        }
        entry.inFlight = true;
        ++inFlight_;
        out.add(TableCall{TableCaller::Registrar, id, requestFor(entry)});
    }
}

TableRequest AgentRegistrar::requestFor(const Entry &entry) const
{
    if (entry.step == Step::Read) {
        return TableRead{AgentRow::keyOf(entry.agent)};
    }
    if (entry.step == Step::ReadOwnership) {
        return TableRead{rows::OwnershipHead};
    }
    AgentRow row;
    row.incarnation = entry.incarnation;
    row.restarted = entry.rowExists;
    row.left = entry.left;
    TableTransaction transaction;
    transaction.conditions.push_back(RowCondition{AgentRow::keyOf(entry.agent), entry.rowVersion});
    transaction.puts.push_back(RowPut{AgentRow::keyOf(entry.agent), row.toJson()});
    return transaction;
}

void AgentRegistrar::onTableResult(int64_t callId, const TableResult &result, MonotonicTime now)
{
    --inFlight_;
    const auto found = entries_.find(callId);
    if (found == entries_.end()) {
        return;
    }
    Entry &entry = found->second;
    entry.inFlight = false;
    if (result.outcome != TableOutcome::Done) {
        // Start over: the row tells whether a write whose answer was lost took effect.
        entry.step = entry.step == Step::ReadOwnership ? Step::ReadOwnership : Step::Read;
        entry.nextAt = now + RetryPause;
        return;
    }
    switch (entry.step) {
    case Step::Read:
        onRowRead(entry, result);
        return;
    case Step::Write:
        entry.registration = Registration{entry.incarnation, result.version, 0};
        entry.step = entry.left ? Step::Done : Step::ReadOwnership;
        return;
    case Step::ReadOwnership: {
        const auto row = std::ranges::find(result.rows, std::string(rows::OwnershipHead), &Row::key);
        entry.registration.ownershipVersion = row == result.rows.end() ? 0 : row->version;
        entry.step = Step::Done;
        return;
    }
    case Step::Done:
        return;
    }
}

void AgentRegistrar::onRowRead(Entry &entry, const TableResult &result)
{
    const auto row = std::ranges::find(result.rows, AgentRow::keyOf(entry.agent), &Row::key);
    entry.rowExists = row != result.rows.end();
    entry.rowVersion = entry.rowExists ? row->version : 0;
    entry.step = Step::Write;
    if (!entry.rowExists) {
        return;
    }
    const AgentRow known = AgentRow::fromJson(*row);
    if (known.incarnation == entry.incarnation && known.left == entry.left) {
        entry.registration = Registration{entry.incarnation, row->version, 0};
        entry.step = entry.left ? Step::Done : Step::ReadOwnership;
    }
}

} // namespace marjoramferry
