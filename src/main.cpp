// The invoker's program: `pathstack-invoker [FILE]`.
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

#include "app/invoker.h"

int main(int count, char** words) {
  if (count > 2) {
    std::cerr << "usage: pathstack-invoker [FILE]   the configuration; without it the one that "
                 "BALANCER_CONFIG names\n";
    return 2;
  }
  const char* const named = count == 2 ? words[1] : std::getenv("BALANCER_CONFIG");
  try {
    pathstack::app::Invoker invoker(named == nullptr ? std::string() : named);
    invoker.run();
    return 0;
  } catch (const std::exception& fault) {
    std::cerr << "pathstack-invoker: " << fault.what() << std::endl;
    return 1;
  }
}
