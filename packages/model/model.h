#ifndef MODEL_MODEL_H_
#define MODEL_MODEL_H_

/// \brief Includes all public headers of the model package.

#include "model/src/change.h"
#include "model/src/client_block_table.h"
#include "model/src/codec.h"
#include "model/src/configuration.h"
#include "model/src/resource.h"
#include "model/src/shared_map.h"
#include "model/src/spec.h"

#endif  // MODEL_MODEL_H_
