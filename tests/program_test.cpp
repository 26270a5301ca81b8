// What the controller's program needs of the system when it starts.
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <string>

namespace sumacquay {
namespace {

// Their symbols are looked up one by one at each start: four fifths of what a start took.
TEST(Program, LoadsNoSharedLibraryOfCpp) {
  std::ifstream file(SUMACQUAY_PROGRAM, std::ios::binary);
  const std::string program{std::istreambuf_iterator<char>(file), {}};
  ASSERT_NE(program.find("libc.so.6"), std::string::npos) << "names of libraries are found";
  for (const char* library : {"libstdc++.so", "libspdlog.so", "libfmt.so", "libtomlplusplus.so"})
    EXPECT_EQ(program.find(library), std::string::npos) << library;
}

}  // namespace
}  // namespace sumacquay
