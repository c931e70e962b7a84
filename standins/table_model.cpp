#include "standins/table_model.h"

#include <algorithm>

namespace marjoramferry {

TableResult TableModel::apply(const TableRequest &request)
{
    if (const auto *readRequest = std::get_if<TableRead>(&request)) {
        return read(*readRequest);
    }
    return commit(std::get<TableTransaction>(request));
}

TableResult TableModel::read(const TableRead &read) const
{
    TableResult result;
    result.outcome = TableOutcome::Done;
    result.version = version_;
    for (auto row = rows_.lower_bound(read.prefix); row != rows_.end() && row->first.starts_with(read.prefix); ++row) {
        result.rows.push_back(row->second);
    }
    return result;
}

TableResult TableModel::commit(const TableTransaction &transaction)
{
    const bool areConditionsMet = std::ranges::all_of(transaction.conditions, [&](const RowCondition &condition) {
        const auto row = rows_.find(condition.key);
        return (row == rows_.end() ? 0 : row->second.version) == condition.version;
    });
    TableResult result;
    if (!areConditionsMet) {
        result.outcome = TableOutcome::Conflict;
        return result;
    }
    ++version_;
    for (const RowPut &put : transaction.puts) {
        rows_[put.key] = Row{put.key, version_, put.value};
    }
    for (const std::string &key : transaction.deletes) {
        rows_.erase(key);
    }
    result.outcome = TableOutcome::Done;
    result.version = version_;
    return result;
}

} // namespace marjoramferry
