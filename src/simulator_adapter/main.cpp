/// The process that the simulator runs for the decision module: reads one batch per line from standard input
/// and writes one reply per line to standard output. Exits with status 1 at the first malformed line.
#include <exception>
#include <iostream>
#include <string>

#include "simulator_adapter/adapter.h"

int main() {
  std::ios::sync_with_stdio(false);
  pathstack::simulator_adapter::Adapter adapter;
  std::string line;
  while (std::getline(std::cin, line)) {
    if (line.empty()) continue;
    try {
      std::cout << adapter.handle_batch(line) << std::endl;
    } catch (const std::exception& fault) {
      std::cerr << "pathstack-simulator-adapter: " << fault.what() << '\n';
      return 1;
    }
  }
  return 0;
}
