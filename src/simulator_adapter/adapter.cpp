#include "simulator_adapter/adapter.h"

#include <optional>
#include <utility>
#include <variant>

#include "config/json_read.h"
#include "config/settings.h"
#include "simulator_adapter/action_encoder.h"

namespace pathstack::simulator_adapter {
namespace {

using config::at;
using config::json;
using config::key;

json parse_batch(const std::string& line) {
  json batch;
  try {
    batch = json::parse(line);
  } catch (const json::exception&) { throw ProtocolError("line is not valid JSON"); }
  if (!batch.is_object()) throw ProtocolError("batch is not a JSON object");
  if (!key(batch, "Time").is_number()) throw ProtocolError("batch has no number under \"Time\"");
  if (!key(batch, "n").is_number()) throw ProtocolError("batch has no number under \"n\"");
  if (!key(batch, "routers").is_array()) throw ProtocolError("batch has no array under \"routers\"");
  return batch;
}

policy::Event decode_start(const json& message) {
  const std::uint64_t seed = config::uint64(at(message, 1));
  return policy::event::Start{config::read_settings(at(message, 2), seed)};
}

/// Serializes on one line; bytes that are not valid UTF-8 are replaced.
std::string to_line(const json& value) {
  constexpr int no_indent = -1;
  return value.dump(no_indent, ' ', false, json::error_handler_t::replace);
}

}  // namespace

std::string Adapter::handle_batch(const std::string& line) {
  const json batch = parse_batch(line);
  const policy::Millis now = config::millis(key(batch, "Time"));
  json groups = json::array();
  for (const auto& group : key(batch, "routers")) {
    const std::string& name = required_text(key(group, "Router"), "Router");
    const json& inbox = key(group, "inbox");
    if (!inbox.is_array()) throw ProtocolError("router has no array under \"inbox\"");
    json commands = handle_inbox(invokers_[name], now, inbox);
    if (commands.empty()) continue;
    groups.push_back({{"Router", name}, {"cmds", std::move(commands)}});
  }
  return to_line(json{{"n", batch["n"]}, {"routers", std::move(groups)}});
}

json Adapter::handle_inbox(Invoker& invoker, policy::Millis now, const json& inbox) {
  std::vector<policy::Action> actions;
  for (const auto& message : inbox) handle(invoker, now, message, actions);
  json commands = json::array();
  for (const auto& action : actions) commands.push_back(encode_action(action));
  return commands;
}

void Adapter::handle(Invoker& invoker, policy::Millis now, const json& message,
                     std::vector<policy::Action>& actions) {
  if (!message.is_array() || message.empty())
    throw ProtocolError("message is not an array that begins with a name");
  const std::string& name = required_text(message[0], "message name");
  if (name == "Catalog") return catalog_.read_page(message);
  if (name == "Init") {
    invoker.policy = policy::Policy();
    invoker.running = true;
    return invoker.policy.handle(now, decode_start(message), actions);
  }
  if (!invoker.running) return;
  const std::optional<policy::Event> event = decode_event(message, catalog_);
  if (!event) return;
  invoker.policy.handle(now, *event, actions);
  if (std::holds_alternative<policy::event::Stop>(*event)) invoker.running = false;
}

}  // namespace pathstack::simulator_adapter
