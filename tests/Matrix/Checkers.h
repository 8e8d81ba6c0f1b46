#pragma once

#include <string>
#include <vector>

#include <tests/Matrix/Records.h>

namespace snipepost::matrix {

/// A violation of an invariant: the label of the invariant ("P3", "Lease", ...)
/// and a description of what happened.
struct Violation
{
  std::string mLabel;
  std::string mText;
};

/// Checks all invariants for one run.
std::vector<Violation>
FindViolations(const Records& aRecords);

} // namespace snipepost::matrix
