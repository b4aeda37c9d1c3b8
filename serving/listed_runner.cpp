#include "serving/listed_runner.h"

#include "serving/stable_hash.h"

namespace sardinelb {

runner_process_id processOf(const listed_runner& runner)
{
    stable_hash hash;
    hash.add(runner.id.value());
    hash.add(std::to_string(runner.startedAtMs));
    return runner_process_id(hash.value());
}

}
