#ifndef RADISHRELAY_BACKEND_BACKEND_THREAD_OPTIONS_H
#define RADISHRELAY_BACKEND_BACKEND_THREAD_OPTIONS_H

#include <cstddef>
#include <string>

namespace radishrelay::backend {

/// Settings of a backend_thread.
struct backend_thread_options {
  /// Commands that may wait for the thread; further ones are refused.
  std::size_t CommandCapacity = 65'536;
  /// Name under which connections are opened.
  std::string User = "radishrelay";
  std::string ApplicationName = "radishrelayd";
};

} // namespace radishrelay::backend

#endif
