#include <radishrelay/groups/session_token_codec.h>

#include <iostream>

/// Encodes and decodes a session token with the installed library.
int main() {
  using namespace radishrelay;
  const groups::signing_key Key{"s1", "a secret shared by all hosts"};
  groups::session_token_codec Tokens(std::vector<groups::signing_key>{Key});
  groups::session_positions State;
  State.Account = base::account_id("installers");
  State.merge(base::group_id("permits"), {3, 41});
  auto Text = Tokens.encode(State);
  if (!Text)
    return 1;
  auto Decoded = Tokens.decode(*Text, State.Account);
  if (!Decoded)
    return 1;
  std::cout << Decoded->dump().dump() << '\n';
  return *Decoded == State ? 0 : 1;
}
