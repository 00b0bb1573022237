#include "simulator_adapter/action_encoder.h"

#include <initializer_list>
#include <variant>

namespace pathstack::simulator_adapter {
namespace {

using nlohmann::json;
namespace action = policy::action;

json command(const char* name, std::initializer_list<json> arguments) {
  json row = json::array({name});
  for (const auto& argument : arguments) row.push_back(argument);
  return row;
}

/// The recipient of a gossip message: the rank of an invoker, or "*" for all of them.
json recipient(const action::SendPeerMessage& message) { return message.to ? json(*message.to) : json("*"); }

/// Encodes each kind of action as the simulator's command.
struct Encoder {
  json operator()(const action::Send& a) const {
    return command("Assign", {a.id, a.worker, a.timeout.count()});
  }
  json operator()(const action::Load& a) const {
    return command("Load", {a.worker, a.function, a.instances});
  }
  json operator()(const action::Unload& a) const { return command("Unmount", {a.worker, a.function}); }
  json operator()(const action::Refuse& a) const {
    return command("OverloadReply", {a.id, a.retry_after.count()});
  }
  json operator()(const action::Fail& a) const { return command("EndFailed", {a.id}); }
  json operator()(const action::Cancel& a) const { return command("Recall", {a.id, a.attempt}); }
  json operator()(const action::Probe& a) const { return command("Touch", {a.worker}); }
  json operator()(const action::SendPeerMessage& a) const {
    return command("Publish", {recipient(a), a.text});
  }
  json operator()(const action::SetTimer& a) const { return command("Timer", {a.after.count(), a.token}); }
  json operator()(const action::RequestList& a) const { return command("Subscribe", {a.on}); }
  json operator()(const action::Log& a) const { return command("Record", {a.text}); }
};

}  // namespace

json encode_action(const policy::Action& action) { return std::visit(Encoder{}, action); }

}  // namespace pathstack::simulator_adapter
