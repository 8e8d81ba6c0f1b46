#pragma once

#include <boost/leaf.hpp>

namespace snipepost {

namespace leaf = boost::leaf;

/// A value or the reason why there is none. The reason travels as a typed
/// error object (Boost.LEAF) to the handler that names its type.
template<typename T>
using Result = leaf::result<T>;

} // namespace snipepost
