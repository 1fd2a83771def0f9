#ifndef RADISHRELAY_DAEMON_STATUS_LISTENER_H
#define RADISHRELAY_DAEMON_STATUS_LISTENER_H

#include "radishrelay/daemon/event_loop.h"
#include "radishrelay/daemon/line_stream.h"

#include <functional>
#include <list>
#include <memory>
#include <string>

namespace radishrelay::daemon {

/// A reply of the status_listener.
struct status_page {
  int Status = 200;
  std::string ContentType = "text/plain";
  std::string Body;
};

/// Answers GET requests for pages that are made at once.
///
/// It runs on the event loop, so that a host whose loop hangs does not report
/// itself ready; a server library with threads of its own would.
class status_listener final : public io_handler {
public:
  using page_maker = std::function<status_page(const std::string &Path)>;

  status_listener(event_loop &Loop, const std::string &Address,
                  page_maker MakePage);
  ~status_listener() override;

  void readable() override;
  void writable() override {}

private:
  struct request {
    std::unique_ptr<line_stream> Stream;
    std::string Path;
  };

  void takeLine(request &Request, std::string_view Line);

  event_loop &Loop;
  int Descriptor;
  page_maker MakePage;
  std::list<request> Requests;
};

} // namespace radishrelay::daemon

#endif
