#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace marjoramferry {

/** A row of the platform's table service. Versions are table-wide and increase with each transaction. */
struct Row
{
    std::string key;
    int64_t version = 0;
    std::string value;

    auto operator<=>(const Row &) const = default;
};

/** Requires that the row has this version; version 0 requires that it doesn't exist. */
struct RowCondition
{
    std::string key;
    int64_t version = 0;

    auto operator<=>(const RowCondition &) const = default;
};

struct RowPut
{
    std::string key;
    std::string value;

    auto operator<=>(const RowPut &) const = default;
};

/** Reads a consistent snapshot of all rows whose keys begin with the prefix. */
struct TableRead
{
    std::string prefix;

    auto operator<=>(const TableRead &) const = default;
};

/** Atomically applies all puts and deletes if every condition holds. */
struct TableTransaction
{
    std::vector<RowCondition> conditions;
    std::vector<RowPut> puts;
    std::vector<std::string> deletes;

    auto operator<=>(const TableTransaction &) const = default;
};

using TableRequest = std::variant<TableRead, TableTransaction>;

enum class TableOutcome {
    Done,
    Conflict, ///< A condition did not hold; nothing was written.
    Unknown, ///< No answer. A transaction may have been committed or may still be.
};

struct TableResult
{
    TableOutcome outcome = TableOutcome::Unknown;
    int64_t version = 0; ///< Version of the committed transaction.
    std::vector<Row> rows; ///< Result of a read.
};

/** Keys and key prefixes of the rows that this system stores. */
namespace rows {
inline constexpr const char *HeadPrefix = "head/"; ///< Small rows that every entry polls.
inline constexpr const char *NoteHead = "head/note";
inline constexpr const char *OwnershipHead
    = "head/ownership"; ///< Its version changes with the map; its value is empty.
inline constexpr const char *OwnershipMap = "ownership"; ///< The map, written in the same transaction as its head.
inline constexpr const char *FencePrefix = "head/fence/";
inline constexpr const char *CatalogPrefix = "catalog/";
inline constexpr const char *ClaimPrefix = "claim/";
inline constexpr const char *AgentPrefix = "agent/";
} // namespace rows

} // namespace marjoramferry
