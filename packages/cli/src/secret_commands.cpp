#include "secret_commands.h"

#include "radishrelay/accounts/key_creation.h"
#include "radishrelay/base/digest.h"
#include "radishrelay/base/json.h"
#include "radishrelay/cli/command_options.h"

namespace radishrelay::cli {

namespace options = boost::program_options;

exit_code runKeyNew(const std::vector<std::string> &Arguments,
                    const command_streams &Streams) {
  options::options_description Options("Options");
  auto Add = Options.add_options();
  Add("account", options::value<std::string>()->required(),
      "the client account");
  Add("id", options::value<std::string>()->required(),
      "identifier of the key within the account");
  exit_code Code = exit_code::Success;
  auto Values = parseOptions(Options, Arguments, Streams, Code);
  if (!Values)
    return Code;
  base::account_id Account((*Values)["account"].as<std::string>());
  auto Key =
      accounts::createKey(Account, (*Values)["id"].as<std::string>(),
                          base::secureRandomBytes(accounts::KeyRandomBytes));
  if (!Key) {
    Streams.Error << "radishrelay: " << Key.error() << "\n";
    return exit_code::Usage;
  }
  base::json Operation = base::json::object();
  Operation["operation"] = "grant_key";
  Operation["account"] = Account.str();
  Operation["key"] = {{"id", Key->Record.KeyId},
                      {"salt", Key->Record.Salt},
                      {"digest", Key->Record.Digest}};
  Streams.Error << "radishrelay: give the key to the client account; it is "
                   "not stored anywhere\n";
  Streams.Out << base::json{{"key", Key->Text}, {"operation", Operation}}.dump(
                     2)
              << "\n";
  return exit_code::Success;
}

exit_code runTokenNew(const std::vector<std::string> &Arguments,
                      const command_streams &Streams) {
  options::options_description Options("Options");
  Options.add_options()("name", options::value<std::string>()->required(),
                        "the operator's name");
  exit_code Code = exit_code::Success;
  auto Values = parseOptions(Options, Arguments, Streams, Code);
  if (!Values)
    return Code;
  constexpr std::size_t TokenBytes = 32;
  std::string Token =
      base::encodeBase64Url(base::secureRandomBytes(TokenBytes));
  Streams.Out << "token: " << Token << "\n"
              << "setting: token_digest." << (*Values)["name"].as<std::string>()
              << " = " << base::encodeHex(base::sha256(Token)) << "\n";
  return exit_code::Success;
}

} // namespace radishrelay::cli
