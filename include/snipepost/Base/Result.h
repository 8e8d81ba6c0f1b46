#pragma once

#include <boost/leaf.hpp>

namespace snipepost {

namespace leaf = boost::leaf;

/// A value or an error. The error is a typed object (Boost.LEAF) that is
/// delivered to the handler for its type.
template<typename T>
using Result = leaf::result<T>;

} // namespace snipepost
