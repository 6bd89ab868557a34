// Issues and recognises command tickets.
#include "fleet/register_command.hpp"

#include <random>

namespace guavashed
{

ticket_source::ticket_source(host_name origin)
{
    std::random_device device;
    last_.origin = std::move(origin);
    last_.origin_incarnation = incarnation((std::uint64_t{device()} << 32) | device());
}

command_ticket ticket_source::next()
{
    ++last_.number;
    return last_;
}

bool ticket_source::issued(command_ticket const& ticket) const
{
    return ticket.origin == last_.origin && ticket.origin_incarnation == last_.origin_incarnation &&
           ticket.number <= last_.number;
}

} // namespace guavashed
