#pragma once

#include <string>
#include <vector>

#include <tests/Matrix/Records.h>

namespace snipepost::matrix {

/// A broken rule: its label ("P3", "Lease", ...) and what was seen.
struct Violation
{
  std::string mLabel;
  std::string mText;
};

/// Judges one run by the journal and by what the callers saw.
std::vector<Violation>
Judge(const Records& aRecords);

} // namespace snipepost::matrix
