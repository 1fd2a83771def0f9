#include "radishrelay/daemon/status_listener.h"

#include <unistd.h>

#include <algorithm>

namespace radishrelay::daemon {

namespace {

/// Limit of open connections; further ones are closed without an answer. Only a
/// few load balancers and monitoring systems connect.
constexpr std::size_t MaxConnections = 64;

} // namespace

status_listener::status_listener(event_loop &Loop, const std::string &Address,
                                 page_builder BuildPage)
    : Loop(Loop), Socket(Address), BuildPage(std::move(BuildPage)) {
  Loop.add(Socket.descriptor(), *this, false);
}

status_listener::~status_listener() { Loop.remove(Socket.descriptor()); }

void status_listener::readable() {
  std::erase_if(Requests, [](const request &Request) {
    return Request.Stream->hasEnded();
  });
  for (int Accepted = Socket.accept(); Accepted >= 0;
       Accepted = Socket.accept()) {
    if (Requests.size() >= MaxConnections) {
      close(Accepted);
      continue;
    }
    request &Request = Requests.emplace_back();
    line_stream_events Events;
    Events.Line = [this, &Request](std::string_view Line) {
      handleLine(Request, Line);
    };
    Request.Stream =
        std::make_unique<line_stream>(Loop, Accepted, std::move(Events));
  }
}

void status_listener::handleLine(request &Request, std::string_view Line) {
  if (!Line.empty()) {
    bool IsRequestLine = Request.Path.empty();
    if (!IsRequestLine)
      return;
    std::size_t Start = std::min(Line.find(' '), Line.size());
    std::size_t End = std::min(Line.find(' ', Start + 1), Line.size());
    Request.Path = Line.substr(std::min(Start + 1, Line.size()),
                               End - std::min(Start + 1, End));
    return;
  }
  status_page Page = BuildPage(Request.Path);
  std::string &Out = Request.Stream->output();
  Out += "HTTP/1.1 " + std::to_string(Page.Status) +
         (Page.Status == 200 ? " OK" : " Unavailable") +
         "\r\nContent-Type: " + Page.ContentType +
         "\r\nContent-Length: " + std::to_string(Page.Body.size()) +
         "\r\nConnection: close\r\n\r\n" + Page.Body;
  Request.Stream->closeAfterOutput();
}

} // namespace radishrelay::daemon
