#ifndef RADISHRELAY_DAEMON_STATUS_LISTENER_H
#define RADISHRELAY_DAEMON_STATUS_LISTENER_H

#include "radishrelay/daemon/event_loop.h"
#include "radishrelay/daemon/line_stream.h"
#include "radishrelay/daemon/listening_socket.h"

#include <functional>
#include <list>
#include <memory>
#include <string>

namespace radishrelay::daemon {

/// An HTTP answer of the status_listener.
struct status_page {
  int Status = 200;
  std::string ContentType = "text/plain";
  std::string Body;
};

/// Minimal HTTP server for readiness checks, metrics and the state dump.
///
/// It runs on the event loop, so that a host whose loop hangs does not report
/// itself ready, as a server library with its own threads would.
class status_listener final : public io_handler {
public:
  using page_builder = std::function<status_page(const std::string &Path)>;

  status_listener(event_loop &Loop, const std::string &Address,
                  page_builder BuildPage);
  ~status_listener() override;

  void readable() override;
  void writable() override {}

private:
  struct request {
    std::unique_ptr<line_stream> Stream;
    std::string Path;
  };

  void handleLine(request &Request, std::string_view Line);

  event_loop &Loop;
  listening_socket Socket;
  page_builder BuildPage;
  std::list<request> Requests;
};

} // namespace radishrelay::daemon

#endif
