#pragma once

#include "cli/cli_services.h"

namespace sardinelb {

// Creates services that reach the table service and the entries over HTTP.
cli_services connectServices(const cli_settings&);

}
