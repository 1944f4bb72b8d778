#ifndef SETTINGS_SETTINGS_H_
#define SETTINGS_SETTINGS_H_

/// \brief Umbrella header of the settings package: process settings in INI.

#include "settings/src/gateway_settings.h"
#include "settings/src/process_settings.h"

#endif  // SETTINGS_SETTINGS_H_
