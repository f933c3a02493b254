#include "baobabrack/ctl/submitted_job.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace baobabrack::ctl {

namespace {

constexpr double cores_per_accelerator = 8;
constexpr double millicores_per_core = 1000;
// Larger values are not from a scheduler, and could overflow when they are added.
constexpr std::uint64_t max_number = 1'000'000'000'000'000;
// The schedulers accept fewer.
constexpr std::uint64_t max_tasks = 100'000;

std::optional<std::uint64_t> parse_count(std::string_view text) {
    std::uint64_t value = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    const bool valid = parsed.ec == std::errc{} && parsed.ptr == end && value <= max_number;
    return valid ? std::optional{value} : std::nullopt;
}

std::vector<std::string_view> split(std::string_view text, std::string_view separator) {
    std::vector<std::string_view> parts;
    for (;;) {
        const auto end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(end + separator.size());
    }
}

// Parses a number that is followed by its unit.
std::optional<std::uint64_t> parse_amount(std::string_view text, std::string_view unit) {
    if (!text.ends_with(unit)) {
        return std::nullopt;
    }
    text.remove_suffix(unit.size());
    return parse_count(text);
}

// Parses a part such as `5x1acc/26000m/68000MiB/2663ms`.
std::optional<submitted_step> parse_needs(std::string_view text) {
    const auto parts = split(text, "/");
    const auto cross = parts.front().find('x');
    if (parts.size() != 4 || cross == std::string_view::npos) {
        return std::nullopt;
    }
    const auto tasks = parse_count(parts[0].substr(0, cross));
    const auto accelerators = parse_amount(parts[0].substr(cross + 1), "acc");
    const auto millicores = parse_amount(parts[1], "m");
    if (!tasks || *tasks > max_tasks || !accelerators || !millicores) {
        return std::nullopt;
    }
    return submitted_step{
        .tasks = *tasks, .accelerators = *accelerators, .millicores = *millicores, .after = {}};
}

// Parses the steps after `after:`, of which each is an earlier step.
std::vector<std::size_t> parse_dependencies(std::string_view text, std::size_t step) {
    std::vector<std::size_t> after;
    for (const auto part : split(text, "+")) {
        if (const auto index = parse_count(part); index && *index < step) {
            after.push_back(*index);
        }
    }
    return after;
}

std::chrono::milliseconds milliseconds_of(const log_record& record, std::string_view name) {
    const auto limit = static_cast<std::int64_t>(max_number);
    return std::chrono::milliseconds{
        std::clamp(record.number(name).value_or(0), std::int64_t{0}, limit)};
}

}  // namespace

double submitted_step::cores() const {
    return static_cast<double>(accelerators) * cores_per_accelerator +
           static_cast<double>(millicores) / millicores_per_core;
}

std::optional<std::vector<submitted_step>> parse_steps(std::string_view text) {
    constexpr std::string_view dependencies = "after:";
    std::vector<submitted_step> steps;
    for (const auto step_text : split(text, ", ")) {
        const auto words = split(step_text, " ");
        auto step = parse_needs(words.front());
        if (!step) {
            return std::nullopt;
        }
        if (!steps.empty()) {
            step->after = {steps.size() - 1};
        }
        for (const auto word : words) {
            step->gang = step->gang || word == "gang";
            step->checkpoints = step->checkpoints || word == "checkpoints";
            step->long_running = step->long_running || word == "long_running";
            if (word.starts_with(dependencies)) {
                step->after = parse_dependencies(word.substr(dependencies.size()), steps.size());
            }
        }
        steps.push_back(std::move(*step));
    }
    return steps;
}

submitted_job parse_submitted_job(const log_record& record) {
    submitted_job job{
        .queue = record.text("queue"),
        .workspace = record.text("workspace"),
        .submitted = record.time,
        .steps = parse_steps(record.text("steps")).value_or(std::vector<submitted_step>{}),
        .objective = std::nullopt,
        .first_due = std::nullopt,
        .interval = milliseconds_of(record, "interval_ms")};
    const auto occurrences = record.number("occurrences").value_or(0);
    job.occurrences = occurrences > 0 ? static_cast<std::uint64_t>(occurrences) : 0;
    const auto slack = record.decimal("slack");
    if (job.occurrences == 0 && slack) {
        const auto chain = static_cast<double>(milliseconds_of(record, "chain_ms").count());
        const auto allowed = std::clamp(*slack * chain, 0.0, static_cast<double>(max_number));
        job.objective = milliseconds_of(record, "completion_target_ms") +
                        std::chrono::milliseconds{static_cast<std::int64_t>(allowed)};
    }
    if (job.occurrences > 0 && record.number("first_due_ms")) {
        job.first_due = log_time{milliseconds_of(record, "first_due_ms")};
    }
    return job;
}

std::optional<logged_task> parse_task(std::string_view text) {
    std::array<std::uint64_t, 3> numbers{};
    for (auto position = numbers.rbegin(); position != numbers.rend(); ++position) {
        const auto dot = text.rfind('.');
        const auto number =
            dot == std::string_view::npos ? std::nullopt : parse_count(text.substr(dot + 1));
        if (!number) {
            return std::nullopt;
        }
        *position = *number;
        text = text.substr(0, dot);
    }
    return logged_task{.job = std::string{text},
                       .occurrence = numbers[0],
                       .step = numbers[1],
                       .index = numbers[2]};
}

}  // namespace baobabrack::ctl
