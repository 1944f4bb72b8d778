#ifndef SETTINGS_SETTINGS_H_
#define SETTINGS_SETTINGS_H_

/// \brief Includes all public headers of the settings package.

#include "settings/src/gateway_settings.h"
#include "settings/src/process_settings.h"

#endif  // SETTINGS_SETTINGS_H_
