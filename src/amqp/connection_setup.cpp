#include "amqp/connection_setup.h"

#include <algorithm>
#include <string>

#include "amqp/client_identity.h"

namespace pathstack::amqp {
namespace {

constexpr std::uint32_t kMaxFrameSize = 128 * 1024;  // larger frames have no benefit, since bodies are short
constexpr std::string_view kLoginMechanism = "PLAIN";
constexpr std::string_view kLocale = "en_US";

std::uint32_t negotiate_frame_size(std::uint32_t offered) {
  const bool unlimited = offered == 0;
  return unlimited ? kMaxFrameSize : std::min(offered, kMaxFrameSize);
}

/// Returns the shorter interval. 0 disables heartbeats for one side, in which case the other side's interval
/// applies.
std::chrono::seconds negotiate_heartbeat(std::chrono::seconds offered, std::chrono::seconds configured) {
  const bool one_disabled = offered.count() == 0 || configured.count() == 0;
  return one_disabled ? std::max(offered, configured) : std::min(offered, configured);
}

/// The SASL PLAIN response (RFC 4616): an empty authorization identity, the user and the password.
std::string plain_login(const BrokerSettings& broker) {
  const std::string separator(1, '\0');
  return separator + broker.user + separator + broker.password;
}

}  // namespace

std::optional<core::Counter> ConnectionSetup::handle(Method method, ArgumentReader& arguments) {
  switch (method) {
    case Method::connection_start: return on_connection_start(arguments);
    case Method::connection_tune: return on_connection_tune(arguments);
    case Method::connection_open_ok: return on_connection_open_ok();
    case Method::channel_open_ok: return on_channel_open_ok();
    case Method::confirm_select_ok: return on_confirm_select_ok();
    case Method::basic_qos_ok: return on_basic_qos_ok();
    case Method::basic_consume_ok: return on_basic_consume_ok();
    default: return core::Counter::amqp_unknown_method;
  }
}

ConnectionSetup::Failure ConnectionSetup::advance(State expected, State next) {
  if (state_ != expected) return core::Counter::amqp_out_of_order;
  state_ = next;
  return std::nullopt;
}

ConnectionSetup::Failure ConnectionSetup::on_connection_start(ArgumentReader& arguments) {
  if (const Failure failure = advance(State::connection_start, State::connection_tune)) return failure;
  arguments.u16();    // protocol version: any revision of 0-9 is accepted
  arguments.table();  // server-properties
  const std::string mechanisms = arguments.long_string();
  if (mechanisms.find(kLoginMechanism) == std::string::npos) return core::Counter::amqp_no_plain_login;
  ArgumentWriter start_ok;
  start_ok.table({{"product", std::string(kProductName)}});
  start_ok.short_string(kLoginMechanism);
  start_ok.long_string(plain_login(broker_));
  start_ok.short_string(kLocale);
  out_.write_method(Method::connection_start_ok, kConnectionChannel, start_ok);
  return std::nullopt;
}

ConnectionSetup::Failure ConnectionSetup::on_connection_tune(ArgumentReader& arguments) {
  if (const Failure failure = advance(State::connection_tune, State::connection_open_ok)) return failure;
  const std::uint16_t max_channels = arguments.u16();
  const std::uint32_t offered_frame_size = arguments.u32();
  const std::chrono::seconds offered_heartbeat(arguments.u16());
  tuning_.max_frame_size = negotiate_frame_size(offered_frame_size);
  if (tuning_.max_frame_size < kMinFrameSize) return core::Counter::amqp_frames_too_small;
  tuning_.heartbeat = negotiate_heartbeat(offered_heartbeat, broker_.heartbeat);
  ArgumentWriter tune_ok;
  tune_ok.u16(max_channels);
  tune_ok.u32(tuning_.max_frame_size);
  tune_ok.u16(static_cast<std::uint64_t>(tuning_.heartbeat.count()));
  out_.write_method(Method::connection_tune_ok, kConnectionChannel, tune_ok);
  ArgumentWriter open;
  open.short_string(broker_.vhost);
  open.short_string("");  // reserved
  open.u8(0);             // reserved
  out_.write_method(Method::connection_open, kConnectionChannel, open);
  return std::nullopt;
}

ConnectionSetup::Failure ConnectionSetup::on_connection_open_ok() {
  if (const Failure failure = advance(State::connection_open_ok, State::channel_open_ok)) return failure;
  ArgumentWriter open;
  open.short_string("");  // reserved
  out_.write_method(Method::channel_open, kChannel, open);
  return std::nullopt;
}

ConnectionSetup::Failure ConnectionSetup::on_channel_open_ok() {
  if (const Failure failure = advance(State::channel_open_ok, State::confirm_select_ok)) return failure;
  ArgumentWriter select;
  select.u8(0);  // no-wait: off
  out_.write_method(Method::confirm_select, kChannel, select);
  return std::nullopt;
}

ConnectionSetup::Failure ConnectionSetup::on_confirm_select_ok() {
  if (const Failure failure = advance(State::confirm_select_ok, State::basic_qos_ok)) return failure;
  ArgumentWriter qos;
  qos.u32(0);  // prefetch-size: no limit in octets
  qos.u16(broker_.prefetch);
  qos.u8(0);  // global: off
  out_.write_method(Method::basic_qos, kChannel, qos);
  return std::nullopt;
}

ConnectionSetup::Failure ConnectionSetup::on_basic_qos_ok() {
  if (const Failure failure = advance(State::basic_qos_ok, State::basic_consume_ok)) return failure;
  for (std::size_t i = 0; i < broker_.queues.size(); ++i) {
    ArgumentWriter consume;
    consume.u16(0);  // reserved
    consume.short_string(broker_.queues[i]);
    consume.short_string(consumer_tag(i));
    consume.u8(0);  // no-local, no-ack, exclusive and no-wait: off
    consume.table({});
    out_.write_method(Method::basic_consume, kChannel, consume);
  }
  return std::nullopt;
}

ConnectionSetup::Failure ConnectionSetup::on_basic_consume_ok() {
  if (state_ != State::basic_consume_ok) return std::nullopt;  // a surplus consume-ok is harmless
  ++running_consumers_;
  if (running_consumers_ == broker_.queues.size()) state_ = State::complete;
  return std::nullopt;
}

}  // namespace pathstack::amqp
