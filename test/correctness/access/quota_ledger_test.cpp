// Tests of quota_ledger with single messages: what a report charges, and what a line may allow.
#include "access/quota_ledger.hpp"
#include "support.hpp"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <limits>

using namespace guavashed;

namespace
{

workspace_name const bakery("bakery");

access_config limit(double rate, double burst)
{
    access_config out;
    out.workspaces = {{bakery, {}, {}, rate, burst, {}}};
    return out;
}

/// A limit of 100 requests/s with a burst of 100. The tolerated excess is 80, of which lines
/// use 64.
struct leader
{
    quota_ledger ledger{{5, 0.1, 20}};
    std::uint64_t number = 0;

    leader() { ledger.configure(limit(100, 100), at_ms(0)); }
    quota_bucket const& bucket() const { return *ledger.find(bakery); }
    std::vector<credit_line> send(std::string const& host, std::uint64_t life, std::uint64_t no,
                                  std::vector<workspace_use> uses, int ms)
    {
        return ledger.exchange({host_name(host), incarnation(life), no, std::move(uses)},
                               at_ms(ms));
    }
    /// The credit granted for a report.
    std::uint32_t report(std::string const& host, std::int64_t total, std::uint32_t wanted, int ms,
                         std::uint64_t life = 1)
    {
        return send(host, life, ++number, {{bakery, total, wanted}}, ms).at(0).credit;
    }
    void be_silent_on_bakery(std::string const& host, int ms) { send(host, 1, ++number, {}, ms); }
};

} // namespace

// Each section guards against admissions that the bucket doesn't know of, or charges without use.
SCENARIO("credit counts against the limit until its use is known")
{
    leader lead;
    SECTION("four hosts want all of it: the bucket and 64 of the excess, then one credit each")
    {
        std::uint32_t sum = 0;
        for (auto const* host : {"a", "b", "c", "d"})
            sum += lead.report(host, 0, 150, 0);
        CHECK(sum >= 150);
        CHECK(sum <= 164 + 2);
        CHECK(lead.bucket().outstanding() == sum);
    }
    SECTION("a host holds 50")
    {
        REQUIRE(lead.report("a", 0, 50, 0) == 50);
        SECTION("it is cut off: the line is charged as spent, and its late report not again")
        {
            CHECK(lead.report("b", 0, 1, 2'900) == 1);
            CHECK(lead.bucket().outstanding() == 51);
            lead.report("b", 0, 1, 3'300);
            CHECK(lead.bucket().charged_unreported() == 50);
            CHECK(lead.bucket().outstanding() == 1);
            double const level = lead.bucket().level();
            lead.report("a", 50, 0, 3'300);
            CHECK(lead.bucket().level() == level);
        }
        SECTION("its later exchanges don't name the workspace: nothing was spent")
        {
            for (int ms = 1'000; ms <= 5'000; ms += 1'000)
                lead.be_silent_on_bakery("a", ms);
            lead.report("b", 0, 0, 5'000);
            CHECK(lead.bucket().charged_unreported() == 0);
            CHECK(lead.bucket().outstanding() == 0);
        }
        SECTION("it restarts: the line of the former process is charged, as is its new total")
        {
            lead.report("a", 3, 0, 100, 2);
            CHECK(lead.bucket().charged_unreported() == 50);
            CHECK(lead.bucket().level() == Approx(100 - 53));
            CHECK(lead.send("a", 1, 99, {{bakery, 20, 5}}, 200).empty());
        }
        SECTION("the grant of a smaller line is lost: the larger one may still be spent")
        {
            CHECK(lead.report("a", 0, 5, 300) == 5);
            CHECK(lead.bucket().outstanding() == 50);
            lead.report("a", 0, 5, 1'800);
            CHECK(lead.bucket().outstanding() == 5);
        }
        SECTION("reports that are repeated or overtaken charge and refund nothing")
        {
            lead.report("a", 40, 0, 100);
            double const level = lead.bucket().level();
            CHECK(lead.send("a", 1, lead.number, {{bakery, 40, 9}}, 100).empty());
            CHECK(lead.send("a", 1, lead.number - 1, {{bakery, 0, 9}}, 100).empty());
            CHECK(lead.bucket().level() == level);
        }
        SECTION("refunds raise the level, but not beyond what the host was charged")
        {
            lead.report("a", 50, 0, 0);
            lead.report("a", 45, 0, 0);
            CHECK(lead.bucket().level() == Approx(55));
            lead.report("b", 1'000, 100, 0);
            lead.report("b", 1'050, 0, 0);
            lead.report("a", -1'000'000, 0, 0);
            CHECK(lead.bucket().level() == Approx(50));
            lead.report("c", 500, 0, 0);
            lead.report("c", 0, 0, 0);
            CHECK(lead.bucket().level() == Approx(50));
            lead.report("d", std::numeric_limits<std::int64_t>::max(), 9, 0);
            lead.report("a", std::numeric_limits<std::int64_t>::max(), 9, 0);
            CHECK(lead.bucket().level() >= -600);
        }
    }
    SECTION("ten hosts share five requests per second; one asks six times as often as the others")
    {
        lead.ledger.configure(limit(5, 5), at_ms(0));
        std::array<std::int64_t, 10> spent{};
        for (int ms = 0; ms < 60'000; ms += 50)
            for (std::size_t host = 0; host < spent.size(); ++host)
                if (host == 0 || ms % 300 == 0)
                    spent[host] += lead.report(std::to_string(host), spent[host], 3, ms);
        CHECK(*std::min_element(spent.begin(), spent.end()) >= 22);
        CHECK(*std::max_element(spent.begin(), spent.end()) <= 45);
    }
    SECTION("a total of an unknown host is a baseline")
    {
        CHECK(lead.report("a", 1'000, 10, 0) == 10);
        CHECK(lead.bucket().level() == 100);
    }
}

// Guards against a limit granted twice when the leader or the limit changes.
SCENARIO("a new leader or a new limit grants nothing that was granted before")
{
    leader lead;
    SECTION("a new term starts empty, and uses a tenth of the excess for one window")
    {
        lead.report("a", 0, 100, 0);
        lead.ledger.begin_term(at_ms(1'000));
        CHECK(lead.report("a", 60, 100, 1'000) == 0);
        CHECK(lead.report("a", 60, 500, 1'500) <= 50);
        CHECK(lead.report("a", 60, 500, 6'000) <= 108);
        CHECK(lead.report("a", 60, 500, 9'000) > 108);
        SECTION("a configuration that is read early in a term doesn't fill the bucket")
        {
            lead.ledger.configure({}, at_ms(20'000));
            lead.ledger.begin_term(at_ms(20'000));
            lead.ledger.configure(limit(100, 100), at_ms(20'000));
            CHECK(lead.bucket().level() == 0);
        }
    }
    SECTION("a lowered limit takes effect at once, a raised one with its inflow")
    {
        lead.ledger.configure(limit(10, 10), at_ms(0));
        CHECK(lead.bucket().level() == 10);
        lead.ledger.configure(limit(200, 200), at_ms(0));
        CHECK(lead.bucket().level() == 10);
        lead.report("a", 0, 1, 100);
        CHECK(lead.bucket().level() == Approx(30));
        lead.report("a", 0, 1, 50);
        CHECK(lead.bucket().level() == Approx(30));
    }
    SECTION("a host that has not learnt of the removal of a limit gets what it wants")
    {
        lead.ledger.configure({}, at_ms(0));
        CHECK(lead.report("a", 0, 300, 0) == 300);
    }
}

// Guards against memory that grows with hosts and workspaces that were used long ago.
SCENARIO("hosts that no longer report are forgotten")
{
    leader lead;
    for (int host = 0; host < 1'000; ++host)
        lead.report(std::to_string(host), 0, 1, host);
    CHECK(lead.ledger.known_hosts() == 1'000);
    lead.report("last", 0, 1, 100'000);
    CHECK(lead.ledger.known_hosts() == 1);
    CHECK(lead.bucket().tracked_hosts() == 1);
}
