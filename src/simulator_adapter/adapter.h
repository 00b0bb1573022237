/// Connects the decision module to the simulator: reads batches of messages as JSON lines and returns the
/// commands of the invokers as JSON lines.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "pathstack/policy.h"
#include "simulator_adapter/event_decoder.h"

namespace pathstack::simulator_adapter {

/// Translates between the simulator's batches and one Policy for each simulated invoker. Makes no decisions.
///
/// Owned by `main`; not thread-safe. Keeps the catalog and all invokers for its lifetime. Invokers
/// share nothing except the catalog.
class Adapter {
 public:
  /// Passes the messages of a batch to the invokers that it names, in the order of the batch, and returns
  /// their commands as one line. Throws ProtocolError if the line is malformed. Cost: proportional to the
  /// size of the batch, plus the work of the decision module.
  std::string handle_batch(const std::string& line);

 private:
  struct Invoker {
    policy::Policy policy;
    bool running = false;  // between `Init` and `PowerOff`
  };

  Catalog catalog_;
  std::map<std::string, Invoker> invokers_;

  nlohmann::json handle_inbox(Invoker& invoker, policy::Millis now, const nlohmann::json& inbox);
  void handle(Invoker& invoker, policy::Millis now, const nlohmann::json& message,
              std::vector<policy::Action>& actions);
};

}  // namespace pathstack::simulator_adapter
