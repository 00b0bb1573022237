/// One host as a list names it, whichever list that is: the membership log or an operator's xDS file.
#pragma once

#include <string>
#include <vector>

#include "core/types.h"

namespace pathstack::core {

/// A host and where it is reached.
struct Member {
  WorkerEntry entry;
  std::string address;  // host:port
};

/// A list of hosts, or what has changed in it.
struct MemberList {
  bool complete = false;  // else only what has changed
  std::vector<Member> members;
};

}  // namespace pathstack::core
