// Checks over the upstreams' reports and ledger and the outcomes that callers recorded.
#include "fleet.hpp"

#include <fstream>
#include <set>
#include <sstream>

namespace fleet_test
{
namespace json = boost::json;
std::map<std::string, std::uint64_t> fleet::upstream_totals() const
{
    std::map<std::string, std::uint64_t> out;
    for (auto const& name : group_names_)
    {
        std::istringstream lines(output(name));
        for (std::string line; std::getline(lines, line);)
        {
            boost::system::error_code code;
            json::value const value = json::parse(line, code);
            if (!value.is_object())
                continue;
            for (auto const& field : value.get_object())
                out[std::string(field.key())] += field.value().to_number<std::uint64_t>();
        }
    }
    return out;
}

fleet::key_check fleet::check_keys() const
{
    key_check out;
    std::map<std::string, unsigned> ran;
    std::ifstream ledger(path("ledger"));
    for (std::string key; std::getline(ledger, key);)
        if (++ran[key] == 2)
            ++out.doubled;
    std::ifstream outcomes(path("outcomes"));
    std::string outcome;
    for (std::string key; outcomes >> outcome >> key;)
    {
        ++out.confirmations;
        bool const did_run = ran.contains(key);
        if (outcome == "not-run" && did_run)
            ++out.false_not_run;
        if (outcome == "answer" && !did_run)
            ++out.answered_not_run;
    }
    return out;
}

} // namespace fleet_test
