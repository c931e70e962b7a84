#pragma once

#include "version/catalog.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace marjoramferry {

/** The items that one section of a note adds, changes or withdraws. */
struct NoteSection
{
    std::map<std::string, DomainState> domains;
    std::set<std::string> services;
    std::map<std::string, TenantLimits> tenants;
    std::set<std::string> endpoints;

    bool operator==(const NoteSection &) const = default;
};

/** A release note: the additions, changes and withdrawals that operators apply to the current catalog. */
struct ReleaseNote
{
    std::optional<int64_t> baseVersion; ///< If set, the note applies only to this catalog version.
    NoteSection add;
    NoteSection change;
    NoteSection withdraw; ///< Only the names are used.

    bool operator==(const ReleaseNote &) const = default;

    /** Throws Malformed for the invalid field. */
    static ReleaseNote fromJson(const std::string &text);

    /** Returns a note that takes a failure domain out of service or back into service. */
    static ReleaseNote forDomain(const std::string &domain, bool inService);

    /**
     * Returns the next catalog version, with this note applied.
     * Throws Conflict if the note is for another version or adds an existing item, and NotFound if
     * it changes or withdraws an item that doesn't exist.
     */
    Catalog appliedTo(const Catalog &current) const;
};

} // namespace marjoramferry
