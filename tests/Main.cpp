// The entry point that every Boost.Test program of this project shares.
#define BOOST_TEST_MODULE snipepost
#include <boost/test/unit_test.hpp>
