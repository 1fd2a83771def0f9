#include "radishrelay/cli/command.h"

#include <iostream>

int main(int Count, char **Values) {
  std::vector<std::string> Arguments(Values + 1, Values + Count);
  auto Code =
      radishrelay::cli::runCommandLine(Arguments, {std::cout, std::cerr});
  return static_cast<int>(Code);
}
