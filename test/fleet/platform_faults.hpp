/// \file
/// Defines fault_source, which injects the faults and changes of the platform soak.
#pragma once

#include "platform_caller.hpp"
#include "platform_fleet.hpp"
#include "statement_checks.hpp"
#include "workspace_keys.hpp"

#include <algorithm>
#include <csignal>
#include <functional>
#include <iostream>
#include <random>
#include <set>

namespace fleet_test
{
using steady = std::chrono::steady_clock;

/// The platform tolerates two lost disks at once. A host that restarts with an empty disk counts as
/// lost for this time.
inline constexpr std::chrono::seconds disk_recovery{5};
inline constexpr unsigned max_disks_lost = 2;
/// Mean of the steps from one upstream that states that it leaves to the next.
inline constexpr unsigned steps_between_leaving = 8;
/// Mean of the steps from one link that repeats or holds up data to the next.
inline constexpr unsigned steps_between_odd_links = 4;
/// Mean of the steps from one control host that is added or replaced to the next, where there are
/// spare ones.
inline constexpr unsigned steps_between_members = 5;
/// From the loss of a control host for good to the start of its successor.
inline constexpr std::chrono::milliseconds successor_delay{2000};
/// Control hosts that settings name as seeds stay, since nobody rewrites the settings here.
inline constexpr unsigned seed_controls = 3;
/// What a link held up arrives within this time after it is whole again.
inline constexpr guavashed::milliseconds link_settle{1000};
/// A process gets to its first instruction within this time. A signal that comes earlier ends it
/// whatever the program does; start_test.cpp has those that come later during the start.
inline constexpr std::chrono::milliseconds loading_time{10};

/// Draws faults from a seed, and reverts them. Thread safety: none.
class fault_source
{
public:
    fault_source(platform_fleet& fleet, standin::platform_caller& caller, workspace_keys& keys,
                 std::uint64_t seed)
        : fleet_(fleet), caller_(caller), keys_(keys), random_(seed), statement_random_(seed),
          link_random_(seed), member_random_(seed)
    {
    }

    /// Reverts the faults that are due, then injects one more.
    void step()
    {
        restart_ended();
        undo(false);
        using fault = void (fault_source::*)();
        static constexpr fault faults[] = {
            &fault_source::kill_entry,     &fault_source::stop_entry,
            &fault_source::freeze_entry,   &fault_source::kill_control,
            &fault_source::stop_control,   &fault_source::freeze_control,
            &fault_source::lose_disk,      &fault_source::kill_all_controls,
            &fault_source::crash_upstream, &fault_source::drain_upstream,
            &fault_source::degrade_link,   &fault_source::reset_links,
            &fault_source::configure,      &fault_source::evacuate,
            &fault_source::reload};
        (this->*faults[random_() % std::size(faults)])();
        // Drawn apart, so that earlier seeds still draw the same faults.
        if (statement_random_() % steps_between_leaving == 0)
            state_leaving();
        if (link_random_() % steps_between_odd_links == 0)
            disturb_answers();
        if (fleet_.options().spare_controls > 0 && member_random_() % steps_between_members == 0)
            change_members();
        if (keys_.step())
            submit(fleet_.accepted_version() + 1, "{\"tenants\":" + keys_.table() + "}");
    }

    /// Reverts all faults in effect.
    void finish()
    {
        restart_ended();
        undo(true);
    }
    std::vector<std::string> const& violations() const { return violations_; }
    disturbances const& disturbed() const { return disturbed_; }

    /// Checks that no control host returns a configuration older than the last acknowledged one.
    void check_version()
    {
        std::uint64_t const accepted = fleet_.accepted_version();
        for (unsigned i = 0; i < controls(); ++i)
            if (std::uint64_t const read = fleet_.read_version(i); read != 0 && read < accepted)
                violations_.push_back(fleet_.control_name(i) + " returned configuration version " +
                                      std::to_string(read) + " after acknowledgement of version " +
                                      std::to_string(accepted));
    }

private:
    struct pending_undo
    {
        steady::time_point due;
        std::function<void()> action;
    };

    void print_action(std::string const& what) { std::cout << "  " << what << "\n"; }
    void schedule_undo(int ms, std::function<void()> action)
    {
        pending_undos_.push_back(
            {steady::now() + std::chrono::milliseconds(ms), std::move(action)});
    }
    void undo(bool all)
    {
        auto due = std::exchange(pending_undos_, {});
        for (auto& item : due)
            if (all || item.due <= steady::now())
                item.action();
            else
                pending_undos_.push_back(std::move(item));
    }
    int random_delay_ms() { return 500 + static_cast<int>(random_() % 3500); }
    /// Excuses an entry host, or the hosts that an upstream answered, until the returned action.
    std::function<void()> disturb(std::string const& subject)
    {
        auto& list = disturbed_[subject];
        list.push_back({guavashed::instant::clock::now()});
        std::size_t const at = list.size() - 1;
        return [this, subject, at]
        { disturbed_[subject][at].until = guavashed::instant::clock::now() + link_settle; };
    }
    /// The caller endpoint of an entry host; empty for a control host.
    std::string subject_of(std::string const& name) const
    {
        for (unsigned i = 0; i < fleet_.options().entries; ++i)
            if (fleet_.entry_name(i) == name)
                return fleet_.entry_endpoint(i).value();
        return {};
    }
    unsigned random_index(unsigned count) { return static_cast<unsigned>(random_() % count); }
    /// Control hosts that have been started, those that are gone for good among them.
    unsigned controls() const { return fleet_.options().controls + started_spares_; }

    /// Signals a running process and schedules its restart.
    void end(std::string const& name, int signal, std::function<void()> restart)
    {
        if (!fleet_.processes().running(name) || faulted_.contains(name))
            return;
        print_action((signal == SIGKILL ? "kill " : "stop ") + name);
        faulted_.insert(name);
        auto const settle = disturb(subject_of(name));
        fleet_.processes().signal(name, signal);
        schedule_undo(random_delay_ms(),
                      [this, name, restart, settle]
                      {
                          settle();
                          if (fleet_.processes().await(name, 8) == -1000)
                              violations_.push_back(name + " did not exit within 8 s");
                          faulted_.erase(name);
                          restart();
                      });
    }
    void freeze(std::string const& name)
    {
        if (!fleet_.processes().running(name) || faulted_.contains(name))
            return;
        print_action("freeze " + name);
        faulted_.insert(name);
        auto const settle = disturb(subject_of(name));
        fleet_.processes().signal(name, SIGSTOP);
        schedule_undo(random_delay_ms(),
                      [this, name, settle]
                      {
                          settle();
                          fleet_.processes().signal(name, SIGCONT);
                          faulted_.erase(name);
                      });
    }
    void end_entry(int signal)
    {
        unsigned const i = random_index(fleet_.options().entries);
        end(fleet_.entry_name(i), signal, [this, i] { fleet_.start_entry(i); });
    }
    void end_control(int signal)
    {
        unsigned const i = random_index(controls());
        end(fleet_.control_name(i), signal, [this, i] { fleet_.start_control(i); });
    }

    /// Starts processes again that have ended of themselves, as the platform does. That is a
    /// violation, unless a signal came before the program ran.
    void restart_ended()
    {
        for (unsigned i = 0; i < fleet_.options().entries; ++i)
            if (has_ended(fleet_.entry_name(i)))
                fleet_.start_entry(i);
        for (unsigned i = 0; i < controls(); ++i)
            if (!gone_.contains(i) && has_ended(fleet_.control_name(i)))
                fleet_.start_control(i);
        signalled_early_.clear();
    }
    bool has_ended(std::string const& name)
    {
        child_processes& processes = fleet_.processes();
        if (!processes.started(name) || faulted_.contains(name) || processes.running(name))
            return false;
        int const code = processes.await(name, 0);
        print_action("start " + name + ", which ended with " + std::to_string(code));
        if (code != -SIGHUP || !signalled_early_.contains(name))
            violations_.push_back(name + " ended of itself with " + std::to_string(code));
        return true;
    }

    void kill_entry() { end_entry(SIGKILL); }
    void stop_entry() { end_entry(SIGTERM); }
    void freeze_entry() { freeze(fleet_.entry_name(random_index(fleet_.options().entries))); }
    void kill_control() { end_control(SIGKILL); }
    void stop_control() { end_control(SIGTERM); }
    void freeze_control() { freeze(fleet_.control_name(random_index(controls()))); }
    void kill_all_controls()
    {
        print_action("kill all control hosts");
        for (unsigned i = 0; i < controls(); ++i)
            end(fleet_.control_name(i), SIGKILL, [this, i] { fleet_.start_control(i); });
    }
    void lose_disk()
    {
        std::erase_if(disks_lost_, [](steady::time_point until) { return until < steady::now(); });
        unsigned const i = random_index(controls());
        std::string const name = fleet_.control_name(i);
        // Nothing is guaranteed beyond two lost disks at once, and hosts that are down or frozen
        // count like hosts with lost disks.
        if (disks_lost_.size() >= max_disks_lost || !faulted_.empty() || gone_.contains(i))
            return;
        print_action("lose the disk of " + name);
        fleet_.processes().signal(name, SIGKILL);
        fleet_.processes().await(name, 5);
        fleet_.lose_disk(i);
        fleet_.start_control(i);
        disks_lost_.push_back(steady::now() + disk_recovery);
    }
    /// Adds a spare control host, or removes a control host for good and starts its successor.
    void change_members()
    {
        if (started_spares_ == fleet_.options().spare_controls)
            return;
        unsigned const spare = controls();
        if (member_random_() % 2 == 0)
        {
            print_action("add " + fleet_.control_name(spare));
            ++started_spares_;
            return fleet_.start_control(spare);
        }
        std::erase_if(disks_lost_, [](steady::time_point until) { return until < steady::now(); });
        auto const i = static_cast<unsigned>(member_random_() % controls());
        if (i < seed_controls || gone_.contains(i) || disks_lost_.size() >= max_disks_lost ||
            !faulted_.empty())
            return;
        print_action("replace " + fleet_.control_name(i) + " by " + fleet_.control_name(spare));
        ++started_spares_;
        gone_.insert(i);
        fleet_.processes().signal(fleet_.control_name(i), SIGKILL);
        fleet_.processes().await(fleet_.control_name(i), 5);
        disks_lost_.push_back(steady::now() + successor_delay + disk_recovery);
        schedule_undo(static_cast<int>(successor_delay.count()),
                      [this, spare] { fleet_.start_control(spare); });
    }
    void crash_upstream()
    {
        unsigned const i = random_index(fleet_.options().upstreams);
        print_action("crash upstream " + std::to_string(i));
        fleet_.start_upstream(i, 2000);
    }
    void drain_upstream()
    {
        unsigned const i = random_index(fleet_.options().upstreams);
        print_action("drain upstream " + std::to_string(i));
        fleet_.upstream(i).drain();
        schedule_undo(4000, [this, i] { fleet_.start_upstream(i, 2000); });
    }
    void state_leaving()
    {
        unsigned const i = static_cast<unsigned>(statement_random_() % fleet_.options().upstreams);
        print_action("upstream " + std::to_string(i) + " states that it leaves");
        fleet_.upstream(i).state_leaving();
        schedule_undo(5000, [this, i] { fleet_.start_upstream(i, 2000); });
    }
    void degrade_link()
    {
        static constexpr relay_mode modes[] = {relay_mode::delay, relay_mode::reset,
                                               relay_mode::stall, relay_mode::one_way};
        unsigned const i = random_index(fleet_.options().upstreams);
        unsigned const mode = random_index(std::size(modes));
        print_action("degrade the link of upstream " + std::to_string(i) + ", mode " +
                     std::to_string(mode));
        fleet_.relay_of(i).set(modes[mode]);
        auto const settle = disturb(fleet_.upstream(i).id());
        schedule_undo(random_delay_ms(),
                      [this, i, settle]
                      {
                          settle();
                          fleet_.relay_of(i).set(relay_mode::pass);
                      });
    }
    /// Repeats answers of an upstream, or delivers requests to it late; it may start again under
    /// its id meanwhile.
    void disturb_answers()
    {
        static constexpr relay_mode modes[] = {relay_mode::repeat, relay_mode::late,
                                               relay_mode::stall};
        auto const i = static_cast<unsigned>(link_random_() % fleet_.options().upstreams);
        auto const mode = link_random_() % std::size(modes);
        bool const restarts = link_random_() % 2 == 0;
        print_action("disturb the answers of upstream " + std::to_string(i) + ", mode " +
                     std::to_string(mode) + (restarts ? ", with a restart under its id" : ""));
        auto const settle = disturb(fleet_.upstream(i).id());
        fleet_.relay_of(i).set(modes[mode]);
        if (restarts)
            fleet_.restart_upstream(i);
        schedule_undo(1500,
                      [this, i, settle]
                      {
                          settle();
                          fleet_.relay_of(i).set(relay_mode::pass);
                      });
    }
    void reset_links()
    {
        print_action("reset connections to upstreams");
        for (unsigned i = 0; i < fleet_.options().upstreams; ++i)
            if (random_() % 2 == 0)
            {
                // A statement on its way is lost with its connection.
                disturb(fleet_.upstream(i).id())();
                fleet_.relay_of(i).reset_open();
            }
    }
    void configure()
    {
        std::uint64_t const version = fleet_.accepted_version() + 1 + random_() % 3;
        submit(version);
    }
    void submit(std::uint64_t version, std::string const& upsert = {})
    {
        caller_.set_keys(keys_.offered());
        fleet_.set_tenants(keys_.table());
        bool const was_accepted = fleet_.configure(version, 3, upsert);
        if (was_accepted)
            keys_.note_acknowledged();
        print_action((upsert.empty() ? "configure " : "replace a key, ") + std::to_string(version) +
                     (was_accepted ? "" : ": not accepted within 3 s"));
        check_version();
    }
    void evacuate()
    {
        print_action("evacuate south-b");
        fleet_.request_control(random_index(fleet_.options().controls), "POST",
                               "/v1/evacuation/south-b");
        schedule_undo(random_delay_ms(),
                      [this]
                      {
                          for (unsigned i = 0; i < 20; ++i)
                              if (fleet_.request_control(i % fleet_.options().controls, "DELETE",
                                                         "/v1/evacuation/south-b") == 200)
                                  return;
                      });
    }
    void reload()
    {
        print_action("reload the settings of entry hosts");
        for (unsigned i = 0; i < fleet_.options().entries; ++i)
        {
            std::string const name = fleet_.entry_name(i);
            if (faulted_.contains(name))
                continue;
            if (steady::now() < fleet_.processes().started_at(name) + loading_time)
                signalled_early_.insert(name);
            fleet_.processes().signal(name, SIGHUP);
        }
    }

    platform_fleet& fleet_;
    standin::platform_caller& caller_;
    workspace_keys& keys_;
    std::mt19937_64 random_;
    std::mt19937_64 statement_random_;
    std::mt19937_64 link_random_;
    std::mt19937_64 member_random_;
    /// Spare control hosts that have been started, or will be shortly.
    unsigned started_spares_ = 0;
    /// Control hosts that were removed for good.
    std::set<unsigned> gone_;
    std::vector<pending_undo> pending_undos_;
    std::set<std::string> faulted_;
    /// Processes that got a signal while they were being loaded, in the last step.
    std::set<std::string> signalled_early_;
    std::vector<steady::time_point> disks_lost_;
    std::vector<std::string> violations_;
    disturbances disturbed_;
};

} // namespace fleet_test
