#ifndef BAOBABRACK_TESTS_PLACEMENT_FLEET_BUILDER_HPP
#define BAOBABRACK_TESTS_PLACEMENT_FLEET_BUILDER_HPP

#include <string>

#include "baobabrack/placement/planner.hpp"
#include "baobabrack/platform.pb.h"
#include "baobabrack/world/directory.hpp"
#include "baobabrack/world/fleet.hpp"

namespace baobabrack::testing {

constexpr std::uint32_t millicores_per_core = 1000;
constexpr std::uint32_t mib_per_gib = 1024;

inline wire::WorkerFacts facts(const std::string& id, const std::string& region,
                               const std::string& rack, std::uint32_t accelerators = 8,
                               std::uint64_t version = 1) {
    wire::WorkerFacts made;
    made.set_worker(id);
    made.set_incarnation(version);
    made.mutable_location()->set_region(region);
    made.mutable_location()->set_data_centre(region + "-1");
    made.mutable_location()->set_rack(rack);
    made.mutable_capacity()->set_cpu_millicores(64 * millicores_per_core);
    made.mutable_capacity()->set_memory_mib(256 * mib_per_gib);
    made.mutable_capacity()->set_accelerators(accelerators);
    return made;
}

inline wire::Shape shape(std::uint32_t members, std::uint32_t accelerators,
                         wire::Adjacency adjacency, std::uint32_t cores = 1) {
    wire::Shape made;
    made.set_members(members);
    made.mutable_per_member()->set_accelerators(accelerators);
    made.mutable_per_member()->set_cpu_millicores(cores * millicores_per_core);
    made.mutable_per_member()->set_memory_mib(mib_per_gib);
    made.set_adjacency(adjacency);
    return made;
}

inline planned_job job(const std::string& id, const std::string& workspace,
                       const wire::Shape& wanted) {
    planned_job made;
    made.id = job_id{id};
    made.workspace = workspace_id{workspace};
    made.shape = wanted;
    made.checkpointable = true;
    made.declared_run = std::chrono::hours(1);
    return made;
}

/// A planner's surroundings: it carries out every plan at once, as if nothing could fail.
class fixture {
public:
    /// Adds workers named `prefix` 1 to `count`, all on one rack.
    void add_rack(const std::string& prefix, std::uint32_t count, const std::string& region = "r",
                  std::uint32_t accelerators = 8) {
        for (std::uint32_t number = 1; number <= count; ++number) {
            workers.join(facts(prefix + std::to_string(number), region, prefix, accelerators));
        }
    }

    void guarantee(const std::string& workspace, const wire::Shape& promised, std::uint32_t count,
                   std::uint32_t quota = 0) {
        wire::Ticket ticket;
        ticket.set_number(++ticket_number_);
        auto* added = ticket.add_workspaces();
        added->set_id(workspace);
        added->set_accelerator_quota(quota);
        if (count > 0) {
            auto* one = added->add_guarantees();
            *one->mutable_shape() = promised;
            one->set_count(count);
            one->set_notice_ms(10000);
        }
        tickets.apply(ticket);
    }

    /// Takes members from the fleet and tells the planner, as when a gang has started.
    bool start(planner& tested, const planned_job& job, const std::vector<gang_member>& members) {
        const auto unit = from_wire(job.shape.per_member());
        for (const auto& member : members) {
            if (!workers.allocate(member.worker, unit, member.count)) {
                return false;
            }
        }
        tested.gang_started(job, members, now);
        return true;
    }

    void end(planner& tested, const planned_job& job, const std::vector<gang_member>& members,
             gang_end how) {
        const auto unit = from_wire(job.shape.per_member());
        for (const auto& member : members) {
            if (const auto* there = workers.find(member.worker)) {
                workers.release(member.worker, there->version, unit, member.count);
            }
        }
        tested.gang_ended(job.id, how, now);
    }

    fleet workers;
    directory tickets;
    time_point now{std::chrono::hours(1)};

private:
    std::uint64_t ticket_number_ = 0;
};

}  // namespace baobabrack::testing

#endif
