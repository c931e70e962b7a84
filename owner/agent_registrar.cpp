#include "owner/agent_registrar.h"

#include <algorithm>

namespace marjoramferry {

namespace {

constexpr int MaxInFlight = 8;
constexpr Milliseconds RetryDelay{200};

} // namespace

void AgentRegistrar::request(const std::string &agent, const std::string &incarnation, bool deregistered)
{
    const auto known = callIds_.find(agent);
    if (known != callIds_.end()) {
        const AgentRecord &record = records_.at(known->second);
        if (record.incarnation == incarnation && record.deregistered == deregistered) {
            return;
        }
        if (record.inFlight) {
            // The agent's next heartbeat repeats the request.
            return;
        }
        records_.erase(known->second);
    }
    AgentRecord record;
    record.agent = agent;
    record.incarnation = incarnation;
    record.deregistered = deregistered;
    callIds_[agent] = ++lastCallId_;
    records_[lastCallId_] = std::move(record);
}

std::optional<Registration> AgentRegistrar::find(const std::string &agent, const std::string &incarnation) const
{
    const auto known = callIds_.find(agent);
    if (known == callIds_.end()) {
        return std::nullopt;
    }
    const AgentRecord &record = records_.at(known->second);
    const bool isGranted = record.step == Step::Done && !record.deregistered && record.incarnation == incarnation;
    return isGranted ? std::optional(record.registration) : std::nullopt;
}

void AgentRegistrar::advance(MonotonicTime now, EntryOutbox &out)
{
    for (auto &[id, record] : records_) {
        if (inFlightCount_ >= MaxInFlight) {
            return;
        }
        if (record.inFlight || record.step == Step::Done || now < record.nextAttemptAt) {
            continue;
        }
        record.inFlight = true;
        ++inFlightCount_;
        out.add(TableCall{TableCaller::Registrar, id, requestFor(record)});
    }
}

TableRequest AgentRegistrar::requestFor(const AgentRecord &record) const
{
    if (record.step == Step::Read) {
        return TableRead{AgentRow::keyOf(record.agent)};
    }
    if (record.step == Step::ReadOwnership) {
        return TableRead{rows::OwnershipHead};
    }
    AgentRow row;
    row.incarnation = record.incarnation;
    row.restarted = record.rowExists;
    row.deregistered = record.deregistered;
    TableTransaction transaction;
    transaction.conditions.push_back(RowCondition{AgentRow::keyOf(record.agent), record.rowVersion});
    transaction.puts.push_back(RowPut{AgentRow::keyOf(record.agent), row.toJson()});
    return transaction;
}

void AgentRegistrar::onTableResult(int64_t callId, const TableResult &result, MonotonicTime now)
{
    --inFlightCount_;
    const auto found = records_.find(callId);
    if (found == records_.end()) {
        return;
    }
    AgentRecord &record = found->second;
    record.inFlight = false;
    if (result.outcome != TableOutcome::Done) {
        // Read the row again: it shows whether a write whose answer was lost was committed.
        record.step = record.step == Step::ReadOwnership ? Step::ReadOwnership : Step::Read;
        record.nextAttemptAt = now + RetryDelay;
        return;
    }
    switch (record.step) {
    case Step::Read:
        onRowRead(record, result);
        return;
    case Step::Write:
        record.registration = Registration{record.incarnation, result.version, 0};
        record.step = record.deregistered ? Step::Done : Step::ReadOwnership;
        return;
    case Step::ReadOwnership: {
        const auto row = std::ranges::find(result.rows, std::string(rows::OwnershipHead), &Row::key);
        record.registration.ownershipVersion = row == result.rows.end() ? 0 : row->version;
        record.step = Step::Done;
        return;
    }
    case Step::Done:
        return;
    }
}

void AgentRegistrar::onRowRead(AgentRecord &record, const TableResult &result)
{
    const auto row = std::ranges::find(result.rows, AgentRow::keyOf(record.agent), &Row::key);
    record.rowExists = row != result.rows.end();
    record.rowVersion = record.rowExists ? row->version : 0;
    record.step = Step::Write;
    if (!record.rowExists) {
        return;
    }
    const AgentRow known = AgentRow::fromJson(*row);
    if (known.incarnation == record.incarnation && known.deregistered == record.deregistered) {
        record.registration = Registration{record.incarnation, row->version, 0};
        record.step = record.deregistered ? Step::Done : Step::ReadOwnership;
    }
}

} // namespace marjoramferry
