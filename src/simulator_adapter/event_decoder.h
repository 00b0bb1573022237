// The simulator's messages to an invoker, read as events of the decision module.
#pragma once

#include <array>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "pathstack/policy.h"

namespace pathstack::simulator_adapter {

/// A line that breaks the wire's form; the message names the fault.
struct ProtocolError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Pages of the simulator's catalog: the endpoint lists that discovery messages refer to by number.
class Catalog {
 public:
  /// Reads a message `Catalog`: replaces one page. Throws ProtocolError for an unknown page or a malformed
  /// row. Cost: the number of rows.
  void read_page(const nlohmann::json& message);

  /// The page of that number, or nothing if there is no such page.
  const std::vector<policy::WorkerEntry>* find(double page) const;

 private:
  static constexpr std::size_t kPages = 16;

  std::array<std::vector<policy::WorkerEntry>, kPages> pages_;
};

/// Reads one message to a running invoker, a JSON array that begins with its name. Nothing if the name is
/// unknown. Values that are absent or of another type read as their defaults; throws ProtocolError where
/// there is no default. Cost: the size of the message, and that of a list it refers to.
std::optional<policy::Event> decode_event(const nlohmann::json& message, const Catalog& catalog);

/// `value` as text; throws ProtocolError if it is not text.
const std::string& required_text(const nlohmann::json& value, const char* what);

}  // namespace pathstack::simulator_adapter
