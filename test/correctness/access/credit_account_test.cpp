// Tests of credit_account: when credit may be spent, what is reported, and what refused requests
// are told.
#include "access/credit_account.hpp"
#include "support.hpp"

#include <catch2/catch.hpp>

using namespace guavashed;

// Each section guards against a request admitted without credit, or refused with credit at hand.
SCENARIO("an entry host spends its credit and no more")
{
    workspace_name const bakery("bakery");
    access_config limits;
    limits.workspaces = {{bakery, {}, {}, 100, 100, {}}};
    credit_account account;
    account.configure(limits);
    auto const verdict = [&](int ms) { return account.admit(bakery, at_ms(ms)).verdict; };
    auto const admits = [&](int ms) { return verdict(ms) == credit_verdict::admitted; };

    CHECK(account.admit(workspace_name("unlimited"), at_ms(0)).verdict == credit_verdict::admitted);
    CHECK(verdict(0) == credit_verdict::unknown);
    CHECK(account.is_report_urgent());
    auto const first = account.take_report(at_ms(0));
    REQUIRE(first.size() == 1);
    CHECK(first[0].wanted >= 2);
    CHECK_FALSE(account.is_report_urgent());

    SECTION("the line ends 1.5 s after the report, not after the grant")
    {
        account.apply({{bakery, 5, 0}}, at_ms(0), at_ms(400));
        CHECK(admits(1'400));
        CHECK(verdict(1'450) == credit_verdict::unknown);
    }
    SECTION("admissions after the report use up the grant that answers it")
    {
        account.apply({{bakery, 3, 0}}, at_ms(0), at_ms(10));
        CHECK(admits(15));
        account.take_report(at_ms(20));
        CHECK(admits(30));
        account.apply({{bakery, 1, 0}}, at_ms(20), at_ms(40));
        CHECK(account.credit(bakery, at_ms(40)) == 0);
        SECTION("an older grant that arrives later changes nothing")
        {
            account.apply({{bakery, 90, 0}}, at_ms(0), at_ms(50));
            account.apply({{bakery, 90, 0}}, at_ms(7), at_ms(50));
            CHECK_FALSE(admits(50));
        }
        SECTION("a refund returns the credit and lowers the total")
        {
            account.refund(bakery);
            CHECK(account.take_report(at_ms(60)).at(0).admitted_total == 1);
            CHECK(admits(70));
        }
        SECTION("a total is reported until a grant confirms it")
        {
            CHECK(account.take_report(at_ms(100)).at(0).admitted_total == 2);
            CHECK(account.take_report(at_ms(200)).at(0).admitted_total == 2);
            account.apply({{bakery, 0, 0}}, at_ms(200), at_ms(250));
            CHECK_FALSE(account.has_report(at_ms(10'000)));
            CHECK(account.take_report(at_ms(10'000)).empty());
        }
    }
    SECTION("refused requests are told successive times, and no one is asked")
    {
        account.apply({{bakery, 0, 200}}, at_ms(0), at_ms(50));
        for (int turn = 1; turn <= 3; ++turn)
        {
            auto const refused = account.admit(bakery, at_ms(50));
            CHECK(refused.verdict == credit_verdict::over_limit);
            CHECK(refused.wait_ms == Approx(200 * turn));
        }
        CHECK_FALSE(account.is_report_urgent());
        CHECK(account.has_report(at_ms(50)));
        CHECK(verdict(1'500) == credit_verdict::unknown);
    }
    SECTION("a workspace that is removed and added again keeps its total from falling")
    {
        account.apply({{bakery, 3, 0}}, at_ms(0), at_ms(10));
        CHECK((admits(20) && admits(20)));
        account.configure({});
        CHECK(account.take_report(at_ms(30)).empty());
        account.configure(limits);
        CHECK(verdict(40) == credit_verdict::unknown);
        CHECK(account.take_report(at_ms(40)).at(0).admitted_total == 2);
    }
}
