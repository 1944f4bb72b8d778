#ifndef CTL_CTL_H_
#define CTL_CTL_H_

/// \brief Umbrella header of the ctl package, which implements baobabwallctl.

#include "ctl/src/api_client.h"
#include "ctl/src/commands.h"
#include "ctl/src/operator_client.h"

#endif  // CTL_CTL_H_
