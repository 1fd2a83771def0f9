#include "radishrelay/daemon/start_retry.h"

#include "radishrelay/base/log.h"

#include <Poco/Net/NetException.h>

#include <cerrno>

namespace radishrelay::daemon {

bool startWhenAddressesAreFree(const std::function<void()> &Start,
                               const std::function<bool(base::duration)> &Wait,
                               base::time_point Deadline) {
  std::string LastError;
  while (true) {
    try {
      Start();
      return true;
    } catch (const Poco::Net::NetException &Error) {
      bool IsInUse = Error.code() == EADDRINUSE;
      if (!IsInUse || base::monotonic_clock::now() >= Deadline)
        throw;
      if (Error.displayText() != LastError)
        base::logEvent(base::log_level::Warning, "address in use; retrying",
                       {{"error", Error.displayText()}, {"step", "start"}});
      LastError = Error.displayText();
    }
    if (!Wait(AddressRetryDelay))
      return false;
  }
}

} // namespace radishrelay::daemon
