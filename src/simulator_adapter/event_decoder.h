/// Decodes the simulator's messages to an invoker into events of the decision module.
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

/// Thrown for a line that does not follow the simulator's protocol; the text names the fault.
struct ProtocolError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// The pages of the simulator's catalog: the endpoint lists that `Discovery` messages refer to by number.
class Catalog {
 public:
  /// Reads a `Catalog` message, which replaces one page. Throws ProtocolError for an unknown page or a
  /// malformed row. Cost: the number of rows.
  void read_page(const nlohmann::json& message);

  /// The page with this number; null if the number is out of range.
  const std::vector<policy::WorkerEntry>* find(double page) const;

 private:
  static constexpr std::size_t kPages = 16;

  std::array<std::vector<policy::WorkerEntry>, kPages> pages_;
};

/// Decodes one message to a running invoker, a JSON array that begins with the name of the message. Empty if
/// the name is unknown. Values that are absent or of the wrong type take their defaults; throws ProtocolError
/// if there is no default. Cost: proportional to the size of the message and of the list that it refers to.
std::optional<policy::Event> decode_event(const nlohmann::json& message, const Catalog& catalog);

/// Returns `value` as a string; throws ProtocolError, which names `what`, if it is not a string.
const std::string& required_text(const nlohmann::json& value, const char* what);

}  // namespace pathstack::simulator_adapter
