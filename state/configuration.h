#pragma once

#include "state/ids.h"
#include "state/instance.h"
#include "state/model.h"
#include "state/pool.h"
#include "state/rank_group.h"
#include "state/runner.h"
#include "state/service_route.h"
#include "state/team.h"

#include <map>
#include <string>
#include <vector>

namespace sardinelb {

// Everything that operators configure, as of one version of the change log. A configuration is a value: daemons replace
// the one in force as a whole.
struct configuration {
    config_version version;
    // Names of the naming schemes in which aliases may be given.
    std::vector<std::string> namingSchemes;
    std::map<team_id, team> teams;
    std::map<pool_id, pool> pools;
    std::map<model_id, model> models;
    std::map<instance_id, instance> instances;
    std::map<runner_id, runner> runners;
    std::map<std::string, service_route> routes;
    std::map<group_id, rank_group> groups;
};

}
