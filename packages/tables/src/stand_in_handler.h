#ifndef RADISHRELAY_TABLES_SRC_STAND_IN_HANDLER_H
#define RADISHRELAY_TABLES_SRC_STAND_IN_HANDLER_H

#include "stand_in_state.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPResponse.h>

namespace radishrelay::tables::detail {

/// Handles one HTTP request to the stand-in platform.
class stand_in_handler : public Poco::Net::HTTPRequestHandler {
public:
  explicit stand_in_handler(stand_in_state &State) : State(State) {}

  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override;

private:
  struct reply {
    Poco::Net::HTTPResponse::HTTPStatus Status =
        Poco::Net::HTTPResponse::HTTP_OK;
    std::string Body;
  };
  using path_segments = std::vector<std::string>;

  reply handleApiRequest(const std::string &Method, const path_segments &Path,
                         const std::string &Body);
  reply handleControlRequest(const std::string &Method,
                             const path_segments &Path,
                             const std::string &Body);
  reply handleTableRead(const path_segments &Path);
  reply handleTransaction(const std::string &Body);
  reply handleObject(const std::string &Method, const std::string &Name,
                     const std::string &Body);

  stand_in_state &State;
};

} // namespace radishrelay::tables::detail

#endif
