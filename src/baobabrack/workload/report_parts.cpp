#include "baobabrack/workload/report_parts.hpp"

#include <utility>

namespace baobabrack::workload {

namespace {

// Tag and length of an entry of a list.
constexpr std::size_t entry_overhead_bytes = 6;
// The numbers of the parts.
constexpr std::size_t part_numbers_bytes = 16;

/// Fills messages of limited size, one after the other.
class part_writer {
public:
    part_writer(wire::WorkloadReport header, const report_limits& limits)
        : header_(std::move(header)),
          header_bytes_(header_.ByteSizeLong() + part_numbers_bytes),
          limits_(limits) {
        begin_part();
    }

    /// Adds entries of a list, as far as there is room.
    ///
    /// @param append adds an entry to the list of a message
    template <typename Entries, typename Append>
    void add(const Entries& entries, Append append) {
        for (const auto& entry : entries) {
            const auto bytes = entry.ByteSizeLong() + entry_overhead_bytes;
            if (bytes_ + bytes > limits_.max_bytes) {
                if (parts_.size() >= limits_.max_parts) {
                    return;
                }
                begin_part();
            }
            bytes_ += bytes;
            *append(parts_.back()) = entry;
        }
    }

    std::vector<wire::WorkloadReport> finish() {
        for (std::size_t index = 0; parts_.size() > 1 && index < parts_.size(); ++index) {
            parts_[index].set_part(static_cast<std::uint32_t>(index));
            parts_[index].set_parts(static_cast<std::uint32_t>(parts_.size()));
        }
        return std::move(parts_);
    }

private:
    void begin_part() {
        parts_.push_back(header_);
        bytes_ = header_bytes_;
    }

    wire::WorkloadReport header_;
    std::size_t header_bytes_;
    report_limits limits_;
    std::vector<wire::WorkloadReport> parts_;
    std::size_t bytes_ = 0;
};

}  // namespace

std::vector<wire::WorkloadReport> split_report(const wire::WorkloadReport& report,
                                               const report_limits& limits) {
    if (report.ByteSizeLong() <= limits.max_bytes) {
        return {report};
    }
    auto header = report;
    header.clear_ends();
    header.clear_refusals();
    header.clear_previous_runs();
    header.clear_runs();
    part_writer parts(std::move(header), limits);
    parts.add(report.ends(), [](auto& part) { return part.add_ends(); });
    parts.add(report.refusals(), [](auto& part) { return part.add_refusals(); });
    parts.add(report.previous_runs(), [](auto& part) { return part.add_previous_runs(); });
    parts.add(report.runs(), [](auto& part) { return part.add_runs(); });
    return parts.finish();
}

std::optional<wire::WorkloadReport> report_assembler::add(const wire::WorkloadReport& part) {
    if (part.parts() <= 1) {
        clear();
        return part;
    }
    if (part.part() == 0) {
        clear();
        report_ = part;
    } else if (part.part() == next_part_ && part.sequence() == report_.sequence() &&
               part.guard_incarnation() == report_.guard_incarnation()) {
        report_.mutable_ends()->MergeFrom(part.ends());
        report_.mutable_refusals()->MergeFrom(part.refusals());
        report_.mutable_previous_runs()->MergeFrom(part.previous_runs());
        report_.mutable_runs()->MergeFrom(part.runs());
    } else {
        clear();
        return std::nullopt;
    }
    next_part_ = part.part() + 1;
    bytes_ += part.ByteSizeLong();
    if (next_part_ < part.parts()) {
        return std::nullopt;
    }
    auto whole = std::move(report_);
    clear();
    return whole;
}

void report_assembler::clear() {
    report_ = {};
    next_part_ = 0;
    bytes_ = 0;
}

}  // namespace baobabrack::workload
