// Gives the Boost.Test program of a package its main function. Only one
// translation unit of a program may define BOOST_TEST_MODULE.
#define BOOST_TEST_MODULE RADISHRELAY_TEST_MODULE
#include <boost/test/unit_test.hpp>
