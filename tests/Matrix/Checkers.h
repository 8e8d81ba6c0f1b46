#pragma once

#include <string>
#include <vector>

#include <tests/Matrix/Records.h>

namespace snipepost::matrix {

/// A violation of an invariant: its label ("P3" etc., listed in
/// tools/fault-matrix.conf, or "Lease" etc.) and what happened.
struct Violation
{
  std::string mLabel;
  std::string mText;
};

/// Checks all invariants for one run.
std::vector<Violation>
FindViolations(const Records& aRecords);

} // namespace snipepost::matrix
