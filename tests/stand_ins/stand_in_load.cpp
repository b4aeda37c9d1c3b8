#include "tests/stand_ins/command_line.h"
#include "tests/stand_ins/event_loop.h"
#include "tests/stand_ins/guarded_main.h"
#include "tests/stand_ins/load_driver.h"
#include "tests/stand_ins/read_file.h"

#include <iostream>
#include <stdexcept>

namespace sardinelb::stand_ins {

namespace {

void runLoad(int argc, char** argv)
{
    std::string planFile;
    command_line line("stand_in_load");
    line.add("plan", "JSON file with the plan", planFile);
    line.parse(argc, argv);

    event_loop loop;
    load_driver driver(loop, parseLoadPlan(readFile(planFile)));
    const auto startedAt = loop.now();
    bool done = false;
    driver.start([&loop, &done] {
        done = true;
        loop.stop();
    });
    loop.run();
    if (!done)
        throw std::runtime_error("stopped by a signal before the run was finished");
    const std::chrono::duration<double> elapsed = loop.now() - startedAt;
    std::cout << driver.summary().toJson(elapsed.count()) << std::endl;
    if (!driver.summary().hasPassed())
        throw std::runtime_error("unexpected responses or call counts; see the report");
}

}

}

int main(int argc, char** argv)
{
    return sardinelb::stand_ins::guardedMain([&] { sardinelb::stand_ins::runLoad(argc, argv); });
}
