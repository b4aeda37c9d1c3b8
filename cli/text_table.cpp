#include "cli/text_table.h"

#include <algorithm>

namespace sardinelb {

namespace {

std::vector<std::size_t> columnWidths(const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    return widths;
}

}

std::string formatTable(const std::vector<std::vector<std::string>>& rows)
{
    constexpr std::size_t columnSpacing = 2;
    const std::vector<std::size_t> widths = columnWidths(rows);
    std::string text;
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column];
            line.append(widths[column] - row[column].size() + columnSpacing, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line;
        text += '\n';
    }
    return text;
}

}
