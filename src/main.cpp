// The entry point of the program `pathstack-invoker [FILE]`.
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

#include "app/invoker.h"

int main(int argument_count, char** arguments) {
  if (argument_count > 2) {
    std::cerr << "usage: pathstack-invoker [FILE]\n"
                 "FILE is the configuration file; the default is the value of BALANCER_CONFIG\n";
    return 2;
  }
  const char* const config_file = argument_count == 2 ? arguments[1] : std::getenv("BALANCER_CONFIG");
  try {
    pathstack::app::Invoker invoker(config_file == nullptr ? std::string() : config_file);
    invoker.run();
    return 0;
  } catch (const std::exception& fault) {
    std::cerr << "pathstack-invoker: " << fault.what() << std::endl;
    return 1;
  }
}
