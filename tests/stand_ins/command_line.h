#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sardinelb::stand_ins {

// Long options of a stand-in program, each with one argument, such as "--port 7001".
class command_line {
public:
    explicit command_line(std::string program);

    // Declares an option. parse() overwrites `value`, which must outlive that call; its initial value is the default.
    void add(const std::string& name, const std::string& help, std::uint64_t& value);
    void add(const std::string& name, const std::string& help, double& value);
    void add(const std::string& name, const std::string& help, std::string& value);
    // An option whose argument is "on" or "off".
    void add(const std::string& name, const std::string& help, bool& value);

    // Sets the declared values. Prints the usage and exits on --help, an unknown option or an invalid value.
    void parse(int argc, char** argv) const;

private:
    struct option {
        std::string name;
        std::string help;
        std::string defaultValue;
        // Exactly one of these is set.
        std::uint64_t* number = nullptr;
        double* real = nullptr;
        std::string* text = nullptr;
        bool* flag = nullptr;
    };

    [[noreturn]] void printUsageAndExit(int status) const;
    static bool assign(const option&, const std::string& argument);

    std::string m_program;
    std::vector<option> m_options;
};

}
