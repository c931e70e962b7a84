#pragma once

#include "version/catalog.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace marjoramferry {

/** What one section of a note adds, changes or sets. */
struct NoteSection
{
    std::map<std::string, DomainState> domains;
    std::set<std::string> services;
    std::map<std::string, TenantLimits> tenants;
    std::set<std::string> endpoints;

    bool operator==(const NoteSection &) const = default;
};

/** A release note: what operators add, change and withdraw against the catalog in force. */
struct ReleaseNote
{
    std::optional<int64_t> baseVersion; ///< When set, the note is for exactly this version.
    NoteSection add;
    NoteSection change;
    NoteSection withdraw; ///< Only the names count.

    bool operator==(const ReleaseNote &) const = default;

    /** Throws Malformed naming the field. */
    static ReleaseNote fromJson(const std::string &text);

    /** A note that takes a failure domain out or brings it back. */
    static ReleaseNote forDomain(const std::string &domain, bool in);

    /**
     * The catalog after this note, one version up.
     * Throws Conflict when the note is for another version or adds what is there already, and
     * NotFound when it changes or withdraws what is not there.
     */
    Catalog appliedTo(const Catalog &current) const;
};

} // namespace marjoramferry
