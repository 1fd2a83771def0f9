#include "radishrelay/base/failure.h"

namespace radishrelay::base {

std::string toString(const failure &Failure) {
  std::string Text;
  if (!Failure.Step.empty())
    Text += Failure.Step + ": ";
  Text += Failure.Code.message();
  if (!Failure.Peer.empty())
    Text += " (" + Failure.Peer + ")";
  if (!Failure.Detail.empty())
    Text += ": " + Failure.Detail;
  return Text;
}

std::ostream &operator<<(std::ostream &Out, const failure &Failure) {
  return Out << toString(Failure);
}

} // namespace radishrelay::base
