#pragma once

#include <boost/outcome/result.hpp>
// The policy header depends on the header above; the blank line keeps clang-format from sorting it first.

#include <boost/outcome/policy/all_narrow.hpp>

namespace sardinelb {

// Holds a value or the error of one layer. Accessing the absent part is undefined behaviour, so test has_value() or use
// BOOST_OUTCOME_TRY first.
template <typename T, typename E>
using layer_result = boost::outcome_v2::result<T, E, boost::outcome_v2::policy::all_narrow>;

}
