#include <snipepost/Admission/Lease.h>

namespace snipepost {

void
Lease::Update(Instant aEnd, bool aStoreOut)
{
  mEnd = aEnd;
  mStoreOut = aStoreOut;
}

bool
Lease::IsValid(Instant aNow) const
{
  if (aNow < mEnd) {
    return true;
  }
  return mStoreOut && mConfirmed &&
         aNow < *mConfirmed + mOptions.mConfirmationLifetime;
}

} // namespace snipepost
