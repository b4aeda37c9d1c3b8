#pragma once

#include <string>

namespace sardinelb::stand_ins {

// Returns the content of a file. Throws std::runtime_error, naming the file, if it cannot be read.
std::string readFile(const std::string& path);

}
