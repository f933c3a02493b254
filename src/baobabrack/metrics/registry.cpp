#include "baobabrack/metrics/registry.hpp"

#include <sstream>

namespace baobabrack {

namespace {

std::string escape_label_value(std::string_view value) {
    std::string out;
    for (const char c : value) {
        if (c == '\\' || c == '"') {
            out += '\\';
        }
        if (c == '\n') {
            out += "\\n";
            continue;
        }
        out += c;
    }
    return out;
}

std::string render_labels(const metric_labels& labels) {
    std::string out;
    for (const auto& label : labels) {
        if (!out.empty()) {
            out += ',';
        }
        out += label.name + "=\"" + escape_label_value(label.value) + "\"";
    }
    return out;
}

void render_header(std::string& out, const std::string& name, const std::string& help,
                   std::string_view type) {
    out += "# HELP " + name + " " + help + "\n";
    out += "# TYPE " + name + " ";
    out += type;
    out += '\n';
}

std::string series_name(const std::string& name, const std::string& labels) {
    return labels.empty() ? name : name + "{" + labels + "}";
}

}  // namespace

template <typename Metric>
Metric& metrics_registry::get(families<Metric>& metric_families, std::string_view name,
                              std::string_view help, const metric_labels& labels) {
    auto found = metric_families.find(name);
    if (found == metric_families.end()) {
        found = metric_families.emplace(std::string(name), family<Metric>{}).first;
        found->second.help = help;
    }
    return found->second.series[render_labels(labels)];
}

counter& metrics_registry::get_counter(std::string_view name, std::string_view help,
                                       const metric_labels& labels) {
    return get(counters_, name, help, labels);
}

gauge& metrics_registry::get_gauge(std::string_view name, std::string_view help,
                                   const metric_labels& labels) {
    return get(gauges_, name, help, labels);
}

latency_histogram& metrics_registry::get_latency_histogram(std::string_view name,
                                                           std::string_view help,
                                                           const metric_labels& labels) {
    return get(latencies_, name, help, labels);
}

std::string metrics_registry::render() const {
    std::string out;
    for (const auto& [name, metric_family] : counters_) {
        render_header(out, name, metric_family.help, "counter");
        for (const auto& [labels, metric] : metric_family.series) {
            out += series_name(name, labels) + " " + std::to_string(metric.value()) + "\n";
        }
    }
    for (const auto& [name, metric_family] : gauges_) {
        render_header(out, name, metric_family.help, "gauge");
        for (const auto& [labels, metric] : metric_family.series) {
            std::ostringstream value;
            value << metric.value();
            out += series_name(name, labels) + " " + value.str() + "\n";
        }
    }
    for (const auto& [name, metric_family] : latencies_) {
        render_header(out, name, metric_family.help, "histogram");
        for (const auto& [labels, metric] : metric_family.series) {
            metric.render(out, name, labels);
        }
    }
    return out;
}

}  // namespace baobabrack
