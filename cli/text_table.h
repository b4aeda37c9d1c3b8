#pragma once

#include <string>
#include <vector>

namespace sardinelb {

// Formats rows as aligned columns, separated by two spaces. The first row holds the headings.
std::string formatTable(const std::vector<std::vector<std::string>>& rows);

}
