#include <chrono>
#include <cstdio>
#include <iostream>
#include <random>
#include <thread>

#include <unistd.h>

#include <snipepost/Ctl/Program.h>

#include "src/Ctl/PlatformBinding.h"

using namespace snipepost;

namespace {

std::map<std::string, std::string>
Variables()
{
  std::map<std::string, std::string> variables;
  for (char** item = environ; *item; ++item) {
    const std::string text(*item);
    const size_t equals = text.find('=');
    if (equals != std::string::npos) {
      variables[text.substr(0, equals)] = text.substr(equals + 1);
    }
  }
  return variables;
}

uint64_t
RandomNumber()
{
  std::random_device device;
  return (uint64_t{ device() } << 32) | device();
}

/// 128 random bits as hexadecimal digits.
std::string
NewSubmissionId()
{
  char text[33];
  std::snprintf(text,
                sizeof text,
                "%016llx%016llx",
                static_cast<unsigned long long>(RandomNumber()),
                static_cast<unsigned long long>(RandomNumber()));
  return text;
}

WallTime
Now()
{
  return std::chrono::floor<std::chrono::seconds>(
    std::chrono::system_clock::now());
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CommandEnvironment environment{ OpenPlatformStore,
                                  QueryInstance,
                                  Now,
                                  [](Duration aSleep) {
                                    std::this_thread::sleep_for(aSleep);
                                  },
                                  NewSubmissionId,
                                  RandomNumber,
                                  std::cout,
                                  std::cerr,
                                  Variables() };
  const std::vector<std::string> arguments(aArguments + 1, aArguments + aCount);
  return static_cast<int>(RunProgram(arguments, environment));
}
