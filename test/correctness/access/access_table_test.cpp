// Tests the validation of workspaces and the lookup of their keys.
#include "access/access_table.hpp"

#include <catch2/catch.hpp>
#include <limits>
#include <rapidcheck/catch.h>
#include <set>

using namespace guavashed;

namespace
{

workspace_config workspace(std::string const& name, std::vector<std::string> const& keys)
{
    workspace_config out;
    out.name = workspace_name(name);
    for (auto const& key : keys)
        out.keys.push_back(digest_of(key));
    return out;
}

access_config two_workspaces()
{
    access_config out;
    out.requires_key = true;
    out.workspaces = {workspace("acme", {"k-1", "k-2"}), workspace("birch", {"k-3"})};
    out.public_routes = {"status", "about"};
    return out;
}

} // namespace

// Guards against a configuration that gives one key to two workspaces, or a limit that no host can
// apply, and against errors that show a key: they get into logs and answers.
SCENARIO("workspaces that contradict each other are refused by name and field")
{
    access_config access = two_workspaces();
    REQUIRE(validate(access));
    auto& acme = access.workspaces[0];
    auto const fault = [&access]
    {
        auto const checked = validate(access);
        REQUIRE_FALSE(checked);
        CHECK_THAT(to_string(checked.error()), !Catch::Contains("k-"));
        return to_string(checked.error());
    };
    SECTION("a key of two workspaces")
    {
        acme.keys.push_back(digest_of("k-3"));
        CHECK_THAT(fault(), Catch::Contains("workspace birch") && Catch::Contains("position 0") &&
                                Catch::Contains("workspace acme"));
    }
    SECTION("a key that is listed twice")
    {
        acme.keys.push_back(digest_of("k-1"));
        CHECK_THAT(fault(), Catch::Contains("workspace acme") && Catch::Contains("position 2") &&
                                Catch::Contains("position 0"));
    }
    SECTION("an empty key")
    {
        acme.keys.push_back(digest_of(""));
        CHECK_THAT(fault(), Catch::Contains("position 2 is empty"));
    }
    SECTION("a rate or a burst that is negative or no number")
    {
        double const value = GENERATE(-1.0, std::numeric_limits<double>::quiet_NaN(),
                                      std::numeric_limits<double>::infinity());
        bool const is_rate = GENERATE(true, false);
        (is_rate ? acme.rate_per_s : acme.burst) = value;
        CHECK_THAT(fault(), Catch::Contains("workspace acme") &&
                                Catch::Contains(is_rate ? "rate" : "burst"));
    }
    SECTION("a name that would break the header field that carries it")
    {
        acme.name = workspace_name(GENERATE("", "a\r\nX-Forged: 1", " a", "a "));
        CHECK_THAT(fault(), Catch::Contains("name"));
    }
    SECTION("a workspace without keys is valid: its last key may have been removed")
    {
        acme.keys.clear();
        CHECK(validate(access));
    }
}

// Guards against a caller that is taken for another workspace, or refused with a valid key.
SCENARIO("each key finds its workspace")
{
    access_table const table(two_workspaces());
    CHECK(table.requires_key());
    CHECK(table.workspaces() == 2);
    CHECK(table.keys() == 3);

    SECTION("known keys")
    {
        for (std::string const key : {"k-1", "k-2"})
            CHECK(table.find(digest_of(key))->name == workspace_name("acme"));
        CHECK(table.find(digest_of("k-3"))->name == workspace_name("birch"));
    }
    SECTION("unknown keys, also those that begin like a known one")
    {
        for (std::string const key : {"k-", "k-11", "K-1", " k-1", ""})
            CHECK(table.find(digest_of(key)) == nullptr);
    }
    SECTION("public routes are found by their whole name")
    {
        CHECK(table.is_public("about"));
        CHECK(table.is_public("status"));
        CHECK_FALSE(table.is_public("stat"));
    }
    SECTION("with any number of keys")
    {
        rc::prop("each one of a workspace is found, and no other",
                 [](std::vector<std::string> const& keys, std::string const& other)
                 {
                     std::set<std::string> const distinct(keys.begin(), keys.end());
                     access_config access;
                     access.workspaces = {workspace("acme", {distinct.begin(), distinct.end()})};
                     access_table const table(access);
                     for (auto const& key : distinct)
                         RC_ASSERT(table.find(digest_of(key)) != nullptr);
                     RC_ASSERT((table.find(digest_of(other)) != nullptr) ==
                               distinct.contains(other));
                 });
    }
}
