#ifndef CHART_CHART_H_
#define CHART_CHART_H_

/// \brief Includes all public headers of the chart package.

#include "chart/src/state_chart.h"

#endif  // CHART_CHART_H_
