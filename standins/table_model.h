#pragma once

#include "core/table.h"

#include <map>
#include <string>

namespace marjoramferry {

/** Rows and transactions of the table service, in memory. Not thread-safe. */
class TableModel
{
public:
    TableResult apply(const TableRequest &request);

    /** Number of committed transactions. */
    int64_t version() const
    {
        return version_;
    }

    const std::map<std::string, Row> &rows() const
    {
        return rows_;
    }

private:
    TableResult read(const TableRead &read) const;
    TableResult commit(const TableTransaction &transaction);

    std::map<std::string, Row> rows_;
    int64_t version_ = 0;
};

} // namespace marjoramferry
