// Shared libraries that the controller's program is linked to.
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <string>

namespace sumacquay {
namespace {

// The dynamic linker's search for the symbols of shared C++ libraries took four fifths of each
// start.
TEST(Program, LinksNoSharedCppLibrary) {
  std::ifstream file(SUMACQUAY_PROGRAM, std::ios::binary);
  const std::string program{std::istreambuf_iterator<char>(file), {}};
  ASSERT_NE(program.find("libc.so.6"), std::string::npos)
      << "the search has to find the names of linked libraries";
  for (const char* library : {"libstdc++.so", "libspdlog.so", "libfmt.so", "libtomlplusplus.so"})
    EXPECT_EQ(program.find(library), std::string::npos) << library;
}

}  // namespace
}  // namespace sumacquay
