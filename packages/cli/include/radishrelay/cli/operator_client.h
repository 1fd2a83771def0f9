#ifndef RADISHRELAY_CLI_OPERATOR_CLIENT_H
#define RADISHRELAY_CLI_OPERATOR_CLIENT_H

#include "radishrelay/base/expected.h"
#include "radishrelay/base/json.h"

#include <string>

namespace radishrelay::cli {

/// Request to the operators' HTTP API.
struct operator_call {
  std::string Method = "GET";
  std::string Path;
  /// Value of If-Match without quotes; empty leaves it out.
  std::string ExpectedVersion{};
  std::string Body{};
};

/// Answer of the operators' HTTP API.
struct operator_answer {
  int Status = 0;
  /// Value of the ETag header without quotes.
  std::string Version;
  std::string Body;
};

/// Options that reach the operators' listener of a host.
struct operator_endpoint {
  /// "IP:PORT".
  std::string Address = "127.0.0.1:8081";
  std::string Token;
  /// True for HTTPS.
  bool Secure = false;
  /// File with the certificate that the host's one must chain to.
  std::string CertificateAuthority;
  int TimeoutSeconds = 10;
};

/// Sends one request and reads the whole answer.
base::expected<operator_answer> callOperator(const operator_endpoint &Endpoint,
                                             const operator_call &Call);

} // namespace radishrelay::cli

#endif
