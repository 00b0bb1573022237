// The simulator's process for the decision module: a batch a line on standard input, its reply on standard
// output. Ends with 1 at the first line that breaks the wire's form.
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
