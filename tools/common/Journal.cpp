#include "Journal.h"

#include <iostream>
#include <stdexcept>

namespace snipepost::tools {

Journal::Journal(const std::string& aPath)
  : mStdout(aPath == "-")
{
  if (mStdout || aPath.empty()) {
    return;
  }
  mFile.open(aPath, std::ios::app);
  if (!mFile) {
    throw std::runtime_error("cannot open journal " + aPath);
  }
}

void
Journal::Write(std::string_view aLine)
{
  if (mStdout) {
    std::cout << aLine << std::endl;
  } else if (mFile.is_open()) {
    mFile << aLine << std::endl;
  }
}

} // namespace snipepost::tools
