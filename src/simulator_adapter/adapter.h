// The simulator's side of the decision module: batches of messages go in as JSON lines, commands come out.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "pathstack/policy.h"
#include "simulator_adapter/event_decoder.h"

namespace pathstack::simulator_adapter {

/// Translates between the simulator's batches and one Policy for each invoker that it plays. No decision is
/// made here.
///
/// Owned by `main`; not thread-safe. Holds the catalog and all invokers to the end. Invokers share nothing
/// but the catalog.
class Adapter {
 public:
  /// Hands a batch to the invokers that it names, in its order, and returns their commands as a line. Throws
  /// ProtocolError if the line breaks the wire's form. Cost: the size of the batch and the work of the
  /// module.
  std::string handle_batch(const std::string& line);

 private:
  struct Invoker {
    policy::Policy policy;
    bool running = false;
  };

  Catalog catalog_;
  std::map<std::string, Invoker> invokers_;

  nlohmann::json handle_inbox(Invoker& invoker, policy::Millis now, const nlohmann::json& inbox);
  void handle(Invoker& invoker, policy::Millis now, const nlohmann::json& message,
              std::vector<policy::Action>& actions);
};

}  // namespace pathstack::simulator_adapter
