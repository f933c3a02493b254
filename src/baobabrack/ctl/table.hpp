#ifndef BAOBABRACK_CTL_TABLE_HPP
#define BAOBABRACK_CTL_TABLE_HPP

#include <iosfwd>
#include <string>
#include <vector>

namespace baobabrack::ctl {

/// A text table with a header row and aligned columns.
class table {
public:
    using row = std::vector<std::string>;

    explicit table(row header) : header_(std::move(header)) {}

    /// Adds a row with one cell for each column.
    void add_row(row cells) { rows_.push_back(std::move(cells)); }

    bool empty() const { return rows_.empty(); }

    /// Writes the header and the rows.
    ///
    /// @param empty_text line that is written instead if there are no rows
    void write(std::ostream& out, const std::string& empty_text) const;

private:
    row header_;
    std::vector<row> rows_;
};

}  // namespace baobabrack::ctl

#endif
