#include "baobabrack/ctl/table.hpp"

#include <algorithm>
#include <ostream>

namespace baobabrack::ctl {

namespace {

constexpr std::size_t column_gap = 2;

void write_row(std::ostream& out, const table::row& cells, const std::vector<std::size_t>& widths) {
    std::string line;
    for (std::size_t column = 0; column < cells.size(); ++column) {
        line += cells[column];
        line.append(widths[column] - cells[column].size() + column_gap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << "\n";
}

}  // namespace

void table::write(std::ostream& out, const std::string& empty_text) const {
    if (rows_.empty()) {
        out << empty_text << "\n";
        return;
    }
    std::vector<std::size_t> widths;
    for (const auto& name : header_) {
        widths.push_back(name.size());
    }
    for (const auto& cells : rows_) {
        for (std::size_t column = 0; column < cells.size(); ++column) {
            widths[column] = std::max(widths[column], cells[column].size());
        }
    }
    write_row(out, header_, widths);
    for (const auto& cells : rows_) {
        write_row(out, cells, widths);
    }
}

}  // namespace baobabrack::ctl
