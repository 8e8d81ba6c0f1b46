#include <snipepost/Admission/ServiceTime.h>

namespace snipepost {

namespace {

/// The weight of a new measurement is 1/8, as in TCP's round-trip estimate (RFC
/// 6298).
constexpr int64_t kWeightDivisor = 8;

} // namespace

void
ServiceTime::Record(RequestClass aClass, Duration aTime)
{
  Duration& mean = mMeans[static_cast<size_t>(aClass)];
  mean =
    mean == Duration::zero() ? aTime : mean + (aTime - mean) / kWeightDivisor;
}

Duration
ServiceTime::Mean(RequestClass aClass) const
{
  return mMeans[static_cast<size_t>(aClass)];
}

} // namespace snipepost
