#pragma once

#include <functional>

namespace sardinelb::stand_ins {

// Runs the body of main() and returns the exit status. An exception is printed to stderr and gives EXIT_FAILURE.
int guardedMain(const std::function<void()>& body);

}
