/// The counters of the program, each declared once with its name, unit and help text.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace pathstack::core {

/// A counter that operators see. Sorted by name; the descriptions in counter.cpp have the same order.
enum class Counter : std::size_t {
  amqp_acked,
  amqp_answers_kept,
  amqp_answers_returned,
  amqp_bad_call,
  amqp_channel_closed,
  amqp_connection_closed,
  amqp_consumer_cancelled,
  amqp_content_broken_off,
  amqp_deliveries,
  amqp_down,
  amqp_frames_too_small,
  amqp_joined,
  amqp_malformed,
  amqp_may_have_run,
  amqp_nacked,
  amqp_no_memory,
  amqp_no_plain_login,
  amqp_out_of_order,
  amqp_published,
  amqp_quiet,
  amqp_rejected,
  amqp_remembered,
  amqp_setup_late,
  amqp_stray_content,
  amqp_too_many_open,
  amqp_unanswerable,
  amqp_unknown_channel,
  amqp_unknown_method,
  amqp_up,
  attempts_cancelled,
  attempts_sent,
  attempts_timed_out,
  calls_bad_figures,
  calls_ended_unserved,
  calls_failed,
  calls_left,
  calls_overdue,
  calls_ref_repeated,
  calls_refused,
  calls_served,
  calls_taken,
  calls_unknown_class,
  calls_unknown_tenant,
  config_faulty,
  config_reread,
  feed_connect_late,
  feed_connections,
  feed_events,
  feed_known_unread,
  feed_line_late,
  feed_malformed_or_gap,
  feed_moves,
  feed_quiet,
  guard_host_not_ready,
  guard_load_stopped,
  guard_send_stopped,
  guard_waited_too_long,
  hosts_answers_absent,
  hosts_answers_data,
  hosts_answers_failed,
  hosts_answers_full,
  hosts_answers_moot,
  hosts_connect_failed,
  hosts_connect_local_faults,
  hosts_connect_timeouts,
  hosts_cut_answers,
  hosts_health_checks,
  hosts_idle_ended,
  hosts_late_answers,
  hosts_links_ended,
  hosts_links_opened,
  hosts_links_refused,
  hosts_links_up,
  hosts_malformed,
  hosts_no_link,
  hosts_no_memory,
  hosts_probes,
  hosts_silent_links,
  hosts_stalled_links,
  hosts_surplus_answers,
  hosts_unread_closed,
  log_events_suppressed,
  log_lines_dropped,
  orders_sent,
  resp_accept_failed,
  resp_bad_call,
  resp_bad_fields,
  resp_cancels,
  resp_connections,
  resp_faults_closed,
  resp_half_request,
  resp_idle_closed,
  resp_linger_cut,
  resp_malformed,
  resp_no_descriptor,
  resp_no_memory,
  resp_no_place,
  resp_no_request,
  resp_no_tag,
  resp_not_taken,
  resp_silent_closed,
  resp_tag_repeated,
  resp_taken_back,
  resp_too_many_open,
  resp_unknown_verb,
  resp_unread_closed,
  xds_lists,
  xds_reads,
  xds_rejected,
};

/// The number of counters.
constexpr std::size_t kCounterCount = static_cast<std::size_t>(Counter::xds_rejected) + 1;

/// The description of a counter for operators.
struct CounterInfo {
  Counter counter;
  std::string_view name;  // as in the log
  std::string_view unit;  // what is counted
  std::string_view help;  // which of these are counted
};

/// Returns the description of `counter`. Cost: constant.
const CounterInfo& counter_info(Counter counter);

/// Returns the table of all counters in Markdown, as it stands in README.md.
std::string counter_table();

}  // namespace pathstack::core
