/// A host as a host list names it. The membership log and the operator's xDS file both deliver such lists.
#pragma once

#include <string>
#include <vector>

#include "core/types.h"

namespace pathstack::core {

/// A host and its address.
struct Member {
  WorkerEntry entry;
  std::string address;  // host:port
};

/// A list of hosts, or changes of one.
struct MemberList {
  bool complete = false;  // false: only changes
  std::vector<Member> members;
};

}  // namespace pathstack::core
