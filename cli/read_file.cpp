#include "cli/read_file.h"

#include <fstream>
#include <sstream>

namespace sardinelb {

command_result<std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    if (file)
        content << file.rdbuf();
    if (!file)
        return command_error { exit_code::InvalidInput, path, "the file cannot be read" };
    return content.str();
}

}
