#ifndef RADISHRELAY_CLI_SRC_LOAD_PLOT_H
#define RADISHRELAY_CLI_SRC_LOAD_PLOT_H

#include "history_checker.h"

#include <string>

namespace radishrelay::cli {

/// SVG text of two charts over time: successful requests per second of each
/// client account, and the time since the last acknowledged write of each
/// group.
std::string plotLoad(const load_history &History,
                     const std::vector<std::string> &Groups,
                     base::duration Length);

} // namespace radishrelay::cli

#endif
