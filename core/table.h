#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace marjoramferry {

/** A row of the platform's table service. Versions grow over the whole table, one per transaction. */
struct Row
{
    std::string key;
    int64_t version = 0;
    std::string value;

    auto operator<=>(const Row &) const = default;
};

/** Holds if the row has this version; version 0 means that there is no such row. */
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

/** Reads all rows whose keys begin with the prefix, at one point in time. */
struct TableRead
{
    std::string prefix;

    auto operator<=>(const TableRead &) const = default;
};

/** Writes and deletes all or nothing, provided that every condition holds. */
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
    Unknown, ///< No answer. A transaction may have taken effect, or may yet.
};

struct TableResult
{
    TableOutcome outcome = TableOutcome::Unknown;
    int64_t version = 0; ///< The version of the committed transaction.
    std::vector<Row> rows; ///< What a read found.
};

/** Keys of the rows that this system keeps. */
namespace rows {
inline constexpr const char *HeadPrefix = "head/"; ///< Small rows that every entry reads at a fixed pace.
inline constexpr const char *NoteHead = "head/note";
inline constexpr const char *OwnershipHead = "head/ownership"; ///< Changes with the map; holds nothing.
inline constexpr const char *OwnershipMap = "ownership"; ///< The map, written with its head.
inline constexpr const char *FencePrefix = "head/fence/";
inline constexpr const char *CatalogPrefix = "catalog/";
inline constexpr const char *ClaimPrefix = "claim/";
inline constexpr const char *AgentPrefix = "agent/";
} // namespace rows

} // namespace marjoramferry
