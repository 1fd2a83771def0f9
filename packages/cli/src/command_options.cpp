#include "radishrelay/cli/command_options.h"

namespace radishrelay::cli {

namespace options = boost::program_options;

std::optional<options::variables_map>
parseOptions(const options::options_description &Options,
             const std::vector<std::string> &Arguments,
             const command_streams &Streams, exit_code &Code) {
  options::options_description All(Options);
  All.add_options()("help,h", "show this text");
  try {
    options::variables_map Values;
    options::store(options::command_line_parser(Arguments).options(All).run(),
                   Values);
    if (Values.count("help")) {
      Streams.Out << All;
      Code = exit_code::Success;
      return std::nullopt;
    }
    options::notify(Values);
    return Values;
  } catch (const options::error &Error) {
    Streams.Error << "radishrelay: " << Error.what() << "\n" << All;
    Code = exit_code::Usage;
    return std::nullopt;
  }
}

} // namespace radishrelay::cli
