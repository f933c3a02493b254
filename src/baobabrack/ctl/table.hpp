#ifndef BAOBABRACK_CTL_TABLE_HPP
#define BAOBABRACK_CTL_TABLE_HPP

#include <iosfwd>
#include <string>
#include <vector>

namespace baobabrack::ctl {

/// Rows of text in aligned columns under a heading.
class table {
public:
    using row = std::vector<std::string>;

    explicit table(row header) : header_(std::move(header)) {}

    /// Adds a row; it has a cell for each column.
    void add_row(row cells) { rows_.push_back(std::move(cells)); }

    bool empty() const { return rows_.empty(); }

    /// Writes the rows, or one line that says there are none.
    ///
    /// @param nothing what to write if there are no rows
    void write(std::ostream& out, const std::string& empty_text) const;

private:
    row header_;
    std::vector<row> rows_;
};

}  // namespace baobabrack::ctl

#endif
