/// \file
/// Defines credit_account, the request credit that one entry host holds for limited workspaces.
#pragma once

#include "access/access_config.hpp"
#include "access/lease_messages.hpp"
#include "base/instant.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace guavashed
{

enum class credit_verdict : std::uint8_t
{
    admitted,
    /// The workspace has used up its limit.
    over_limit,
    /// No credit is held here, and the leader has not said that the limit is used up: ask it.
    unknown
};

struct credit_decision
{
    credit_verdict verdict = credit_verdict::admitted;
    /// With `over_limit`: time until a request would be admitted, in milliseconds.
    double wait_ms = 0;
};

/// Spends credit lines granted by the leader and accounts for what was admitted. Answers bursts of
/// one workspace: what is beyond its limit is refused without a message to another host. Thread
/// safety: none; owned by the entry's event loop.
class credit_account
{
public:
    /// Limits in force; workspaces without one are always admitted.
    void configure(access_config const& access);
    /// Takes credit for one request of the workspace.
    credit_decision admit(workspace_name const& workspace, instant now);
    /// Returns the credit of a request that was admitted and then not run.
    void refund(workspace_name const& workspace, instant now);
    /// Uses to report: workspaces admitted, refused or asked for since their last report.
    std::vector<workspace_use> take_report(instant now);
    /// Whether a report should be sent at once, since requests wait for credit.
    bool is_report_urgent() const;
    /// Applies a grant that answers the report taken at `reported_at`; credit is valid for the
    /// lifetime of a line from then on.
    void apply(std::vector<credit_line> const& lines, instant reported_at, instant now);
};

} // namespace guavashed
