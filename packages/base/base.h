#ifndef BASE_BASE_H_
#define BASE_BASE_H_

/// \brief Includes all public headers of the base package.

#include "base/src/endpoint.h"
#include "base/src/error.h"
#include "base/src/finding.h"
#include "base/src/hash.h"
#include "base/src/ini_document.h"
#include "base/src/log_line.h"
#include "base/src/outcome.h"
#include "base/src/random.h"
#include "base/src/sliding_window.h"

#endif  // BASE_BASE_H_
