#include "core/error.h"
#include "version/release_note.h"

#include <catch2/catch.hpp>

using namespace marjoramferry;

namespace {

const char *const FirstNote = R"({"add":{"domains":["bogota","cali"],"services":["orders"],
    "tenants":[{"name":"talleres","weight":3,"max_running":8,"max_queued":90}]}})";

ErrorKind errorKindOf(const std::string &note, const Catalog &catalog)
{
    try {
        ReleaseNote::fromJson(note).appliedTo(catalog);
    } catch (const Error &error) {
        return error.kind();
    }
    FAIL("the note was applied");
    return ErrorKind::Malformed;
}

} // namespace

TEST_CASE("A note adds, changes and withdraws items of the catalog")
{
    const Catalog first = ReleaseNote::fromJson(FirstNote).appliedTo(Catalog());
    CHECK(first.version == 1);
    CHECK(first.isStartAllowed("orders", "runner1", "cali"));
    const Catalog second = ReleaseNote::forDomain("cali", false).appliedTo(first);
    CHECK(second.version == 2);
    CHECK_FALSE(second.isStartAllowed("orders", "runner1", "cali"));
    CHECK(second.isStartAllowed("orders", "runner1", "bogota"));
    const auto withdrawal = ReleaseNote::fromJson(R"({"withdraw":{"endpoints":["runner1"],"domains":["cali"]}})");
    const Catalog third = withdrawal.appliedTo(second);
    CHECK_FALSE(third.isStartAllowed("orders", "runner1", "bogota"));
    CHECK_FALSE(third.domains.contains("cali"));
    CHECK(Catalog::fromJson(third.toJson()) == third);
}

TEST_CASE("A note that conflicts with the catalog throws Conflict or NotFound")
{
    const Catalog first = ReleaseNote::fromJson(FirstNote).appliedTo(Catalog());
    CHECK(errorKindOf(FirstNote, first) == ErrorKind::Conflict);
    CHECK(errorKindOf(R"({"base_version":7,"add":{"services":["x"]}})", first) == ErrorKind::Conflict);
    CHECK(errorKindOf(R"({"change":{"domains":["nowhere"]}})", first) == ErrorKind::NotFound);
    CHECK(errorKindOf(R"({"withdraw":{"tenants":["nobody"]}})", first) == ErrorKind::NotFound);
}

TEST_CASE("A malformed note throws an error that names the invalid field")
{
    const auto subjectOf = [](const std::string &note) {
        try {
            ReleaseNote::fromJson(note);
        } catch (const Error &error) {
            return error.subject();
        }
        return std::string();
    };
    CHECK(subjectOf("{") == "note");
    CHECK(subjectOf("[]") == "body");
    CHECK(subjectOf("{}") == "note");
    CHECK(subjectOf(R"({"ad":{}})") == "ad");
    CHECK(subjectOf(R"({"add":{"domains":"cali"}})") == "add.domains");
    CHECK(subjectOf(R"({"add":{"tenants":[{"name":"a","weight":0}]}})") == "add.tenants[0].weight");
    CHECK(subjectOf(R"({"add":{"tenants":[{"weight":1}]}})") == "add.tenants[0].name");
    CHECK(subjectOf(R"({"base_version":-1,"add":{"services":["x"]}})") == "base_version");
}
