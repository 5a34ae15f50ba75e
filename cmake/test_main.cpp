#define BOOST_TEST_MODULE poplardeal
#include <boost/test/unit_test.hpp>
