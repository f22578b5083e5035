#ifndef LUG_TESTS_LUG_H
#define LUG_TESTS_LUG_H

#include <gtest/gtest.h>

#include <string>
#include <vector>

#endif
