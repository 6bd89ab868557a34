// Parses and prints intent documents (JSON).
#include "control/configuration.hpp"

#include <boost/json.hpp>
#include <set>

namespace guavashed
{
namespace json = boost::json;

namespace
{

constexpr std::size_t max_document_bytes = 4 * 1024 * 1024;
constexpr std::uint32_t max_permille = 1000;
constexpr std::uint64_t max_slots = 1'000'000;
constexpr std::uint64_t max_link_bytes = 1'000'000'000'000ULL;
constexpr std::uint64_t max_objective_ms = 3'600'000;

/// Thrown within this file only; parse_intent converts it to an error result.
struct document_error
{
    error_code code;
    std::string field;
    std::string detail;
};

[[noreturn]] void reject(std::string field, std::string detail)
{
    throw document_error{error_code::invalid_document, std::move(field), std::move(detail)};
}

/// Reads the fields of a JSON object; `finish` rejects the document if a field was never read.
class strict_object
{
public:
    strict_object(json::value const& value, std::string path) : path_(std::move(path))
    {
        if (!value.is_object())
            reject(path_, "expected an object");
        object_ = &value.get_object();
    }

    json::value const* find(char const* name)
    {
        read_.insert(name);
        return object_->if_contains(name);
    }

    json::value const& at(char const* name)
    {
        auto const* value = find(name);
        if (value == nullptr)
            reject(path(name), "is missing");
        return *value;
    }

    std::string text(char const* name)
    {
        auto const& value = at(name);
        if (!value.is_string() || value.get_string().empty() || value.get_string().size() > 128)
            reject(path(name), "expected a string of 1 to 128 characters");
        return std::string(value.get_string());
    }

    std::uint64_t number(char const* name, std::uint64_t low, std::uint64_t high)
    {
        auto const& value = at(name);
        boost::system::error_code code;
        auto const number = value.to_number<std::uint64_t>(code);
        if (code || number < low || number > high)
            reject(path(name), "expected an integer from " + std::to_string(low) + " to " +
                                   std::to_string(high));
        return number;
    }

    std::uint64_t number_or(char const* name, std::uint64_t low, std::uint64_t high,
                            std::uint64_t absent)
    {
        return find(name) == nullptr ? absent : number(name, low, high);
    }

    bool flag_or(char const* name, bool absent)
    {
        auto const* value = find(name);
        if (value == nullptr)
            return absent;
        if (!value->is_bool())
            reject(path(name), "expected true or false");
        return value->get_bool();
    }

    /// Calls `read(element, path)` for each element of an array; an absent array is empty.
    template <class Read>
    void each(char const* name, Read read)
    {
        auto const* value = find(name);
        if (value == nullptr)
            return;
        if (!value->is_array())
            reject(path(name), "expected an array");
        std::size_t position = 0;
        for (auto const& element : value->get_array())
            read(element, path(name) + "[" + std::to_string(position++) + "]");
    }

    std::string path(char const* name) const { return path_ + "." + name; }

    void finish() const
    {
        for (auto const& field : *object_)
            if (!read_.contains(std::string(field.key())))
                reject(path_ + "." + std::string(field.key()), "is not a known field");
    }

private:
    json::object const* object_ = nullptr;
    std::string path_;
    std::set<std::string> read_;
};

std::string read_text(json::value const& value, std::string const& path)
{
    if (!value.is_string() || value.get_string().empty())
        reject(path, "expected a non-empty string");
    return std::string(value.get_string());
}

rank read_rank(strict_object& object)
{
    std::string const text = object.text("rank");
    if (text == "urgent")
        return rank::urgent;
    if (text == "normal")
        return rank::normal;
    if (text == "archive")
        return rank::archive;
    reject(object.path("rank"), "expected urgent, normal or archive, not " + text);
}

work_kind_config read_kind(json::value const& value, std::string const& path)
{
    strict_object object(value, path);
    work_kind_config kind;
    kind.name = work_kind_name(object.text("name"));
    kind.importance = read_rank(object);
    kind.idempotent = object.flag_or("idempotent", true);
    kind.objective_ms =
        static_cast<std::uint32_t>(object.number_or("objective_ms", 1, max_objective_ms, 1000));
    kind.objective =
        permille(static_cast<std::uint32_t>(object.number_or("objective_permille", 1, 999, 990)));
    object.finish();
    return kind;
}

std::array<permille, rank_count> read_floors(strict_object& service)
{
    std::array<permille, rank_count> floors{};
    auto const* value = service.find("floors");
    if (value == nullptr)
        return floors;
    strict_object object(*value, service.path("floors"));
    char const* const names[rank_count] = {"urgent", "normal", "archive"};
    std::uint64_t sum = 0;
    for (std::size_t r = 0; r < rank_count; ++r)
    {
        auto const floor = object.number_or(names[r], 0, max_permille, 0);
        floors[r] = permille(static_cast<std::uint32_t>(floor));
        sum += floor;
    }
    object.finish();
    if (sum > max_permille)
        reject(service.path("floors"), "add up to " + std::to_string(sum) + ", more than 1000");
    return floors;
}

service_config read_service(json::value const& value, std::string const& path)
{
    strict_object object(value, path);
    service_config service;
    service.name = service_name(object.text("name"));
    object.each("kinds", [&](json::value const& element, std::string const& where)
                { service.kinds.push_back(read_kind(element, where)); });
    service.floors = read_floors(object);
    object.finish();
    if (service.kinds.empty())
        reject(path + ".kinds", "must list at least one kind of work");
    return service;
}

region_config read_region(json::value const& value, std::string const& path)
{
    strict_object object(value, path);
    region_config region;
    region.name = region_name(object.text("name"));
    object.each("failure_domains", [&](json::value const& element, std::string const& where)
                { region.failure_domains.emplace_back(read_text(element, where)); });
    object.each("client_prefixes", [&](json::value const& element, std::string const& where)
                { region.client_prefixes.push_back(read_text(element, where)); });
    region.slot_cap =
        slot_count(static_cast<std::uint32_t>(object.number("slot_cap", 1, max_slots)));
    region.entry_hosts = static_cast<std::uint32_t>(object.number("entry_hosts", 1, 10'000));
    object.finish();
    if (region.failure_domains.empty())
        reject(path + ".failure_domains", "must list at least one failure domain");
    if (region.slot_cap.value() < region.entry_hosts)
        reject(path + ".slot_cap", "is " + std::to_string(region.slot_cap.value()) +
                                       ", less than one slot for each of " +
                                       std::to_string(region.entry_hosts) + " entry hosts");
    return region;
}

link_config read_link(json::value const& value, std::string const& path)
{
    strict_object object(value, path);
    link_config link;
    link.from = region_name(object.text("from"));
    link.to = region_name(object.text("to"));
    link.cap = bytes_per_second(object.number("bytes_per_second", 1000, max_link_bytes));
    object.finish();
    return link;
}

shift_config read_shift(json::value const& value, std::string const& path)
{
    strict_object object(value, path);
    shift_config shift;
    shift.from = region_name(object.text("from"));
    shift.to = region_name(object.text("to"));
    auto const share =
        [&](char const* name, std::uint64_t low, std::uint64_t high, std::uint64_t absent)
    { return permille(static_cast<std::uint32_t>(object.number_or(name, low, high, absent))); };
    shift.target = share("target_permille", 0, max_permille, 0);
    shift.current = share("current_permille", 0, max_permille, 0);
    shift.step = share("step_permille", 1, max_permille, 50);
    shift.hold_above = share("hold_above_permille", 1000, 100'000, 1300);
    object.finish();
    if (shift.from == shift.to)
        reject(path, "from and to are the same region, " + shift.from.value());
    return shift;
}

void require_region(configuration const& config, region_name const& name, std::string const& field)
{
    if (find_region(config, name) == nullptr)
        throw document_error{error_code::unknown_place, field,
                             "region " + name.value() + " is not listed in regions"};
}

template <class Items, class Name>
void require_distinct(Items const& items, Name name, std::string const& field)
{
    std::set<std::string> seen;
    for (auto const& item : items)
        if (!seen.insert(name(item)).second)
            reject(field, "names " + name(item) + " twice");
}

/// Checks that names are distinct and that links and shifts refer to listed regions.
void check_consistency(configuration const& config)
{
    auto const plain_name = [](auto const& item) { return item.name.value(); };
    auto const ends = [](auto const& item) { return item.from.value() + " to " + item.to.value(); };
    require_distinct(config.services, plain_name, "intent.services");
    require_distinct(config.regions, plain_name, "intent.regions");
    require_distinct(config.links, ends, "intent.links");
    require_distinct(config.shifts, ends, "intent.shifts");
    for (auto const& link : config.links)
    {
        require_region(config, link.from, "intent.links.from");
        require_region(config, link.to, "intent.links.to");
    }
    for (auto const& shift : config.shifts)
    {
        require_region(config, shift.from, "intent.shifts.from");
        require_region(config, shift.to, "intent.shifts.to");
    }
}

configuration read_document(json::value const& document)
{
    strict_object object(document, "intent");
    configuration config;
    object.each("services", [&](json::value const& element, std::string const& where)
                { config.services.push_back(read_service(element, where)); });
    object.each("regions", [&](json::value const& element, std::string const& where)
                { config.regions.push_back(read_region(element, where)); });
    object.each("links", [&](json::value const& element, std::string const& where)
                { config.links.push_back(read_link(element, where)); });
    object.each("shifts", [&](json::value const& element, std::string const& where)
                { config.shifts.push_back(read_shift(element, where)); });
    object.each("leaving_upstreams", [&](json::value const& element, std::string const& where)
                { config.leaving_upstreams.emplace_back(read_text(element, where)); });
    object.each("leaving_hosts", [&](json::value const& element, std::string const& where)
                { config.leaving_hosts.emplace_back(read_text(element, where)); });
    config.isolated_crosses_regions = object.flag_or("isolated_crosses_regions", false);
    object.finish();
    check_consistency(config);
    return config;
}

json::array names(auto const& items)
{
    json::array out;
    for (auto const& item : items)
        out.emplace_back(item.value());
    return out;
}

char const* rank_text(rank importance)
{
    char const* const texts[rank_count] = {"urgent", "normal", "archive"};
    return texts[index_of(importance)];
}

json::object print_service(service_config const& service)
{
    json::array kinds;
    for (auto const& kind : service.kinds)
        kinds.push_back(json::object{{"name", kind.name.value()},
                                     {"rank", rank_text(kind.importance)},
                                     {"idempotent", kind.idempotent},
                                     {"objective_ms", kind.objective_ms},
                                     {"objective_permille", kind.objective.value()}});
    json::object floors;
    for (std::size_t r = 0; r < rank_count; ++r)
        floors[rank_text(static_cast<rank>(r))] = service.floors[r].value();
    return {{"name", service.name.value()}, {"kinds", kinds}, {"floors", floors}};
}

json::object print_region(region_config const& region)
{
    json::array prefixes;
    for (auto const& prefix : region.client_prefixes)
        prefixes.emplace_back(prefix);
    return {{"name", region.name.value()},
            {"failure_domains", names(region.failure_domains)},
            {"client_prefixes", prefixes},
            {"slot_cap", region.slot_cap.value()},
            {"entry_hosts", region.entry_hosts}};
}

json::object print_shift(shift_config const& shift)
{
    return {{"from", shift.from.value()},
            {"to", shift.to.value()},
            {"target_permille", shift.target.value()},
            {"current_permille", shift.current.value()},
            {"step_permille", shift.step.value()},
            {"hold_above_permille", shift.hold_above.value()}};
}

} // namespace

result<configuration> parse_intent(std::string const& text)
{
    if (text.size() > max_document_bytes)
        return fail(error_code::invalid_document, "read intent", "",
                    "document has " + std::to_string(text.size()) + " bytes, more than " +
                        std::to_string(max_document_bytes));
    boost::system::error_code code;
    json::value const document = json::parse(text, code);
    if (code)
        return fail(error_code::invalid_document, "read intent", "",
                    "not a JSON document: " + code.message());
    try
    {
        return read_document(document);
    }
    catch (document_error const& failure)
    {
        return fail(failure.code, "read intent", failure.field, failure.detail);
    }
}

std::string print_intent(configuration const& config)
{
    json::array services;
    for (auto const& service : config.services)
        services.push_back(print_service(service));
    json::array regions;
    for (auto const& region : config.regions)
        regions.push_back(print_region(region));
    json::array links;
    for (auto const& link : config.links)
        links.push_back(json::object{{"from", link.from.value()},
                                     {"to", link.to.value()},
                                     {"bytes_per_second", link.cap.value()}});
    json::array shifts;
    for (auto const& shift : config.shifts)
        shifts.push_back(print_shift(shift));
    json::object const document{{"services", services},
                                {"regions", regions},
                                {"links", links},
                                {"shifts", shifts},
                                {"leaving_upstreams", names(config.leaving_upstreams)},
                                {"leaving_hosts", names(config.leaving_hosts)},
                                {"isolated_crosses_regions", config.isolated_crosses_regions}};
    return json::serialize(document);
}

} // namespace guavashed
