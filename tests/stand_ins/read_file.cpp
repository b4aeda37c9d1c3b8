#include "tests/stand_ins/read_file.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace sardinelb::stand_ins {

std::string readFile(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file)
        throw std::runtime_error("cannot read '" + path + "'");
    return text.str();
}

}
