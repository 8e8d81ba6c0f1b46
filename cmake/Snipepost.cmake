# Build functions for libraries, programs and tests.
find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
if(SNIPEPOST_FLOW_ONLY)
  # The program runs on small instances, where each shared library costs memory
  # and start-up time.
  set(Boost_USE_STATIC_LIBS ON)
  find_package(Boost 1.81 REQUIRED COMPONENTS program_options json)
  set(libraries libxxhash)
else()
  find_package(Boost 1.81 REQUIRED COMPONENTS program_options log json
                                              unit_test_framework)
  set(libraries libnghttp2 libnghttp3 libngtcp2 gnutls libsodium libxxhash)
  find_library(ngtcp2_gnutls ngtcp2_crypto_gnutls REQUIRED)
endif()
foreach(name ${libraries})
  pkg_check_modules(${name} REQUIRED IMPORTED_TARGET ${name})
endforeach()
find_library(http_parser_library
             NAMES ${CMAKE_STATIC_LIBRARY_PREFIX}http_parser.a http_parser
             REQUIRED)

add_library(snipepost_options INTERFACE)
target_include_directories(snipepost_options
                           INTERFACE ${CMAKE_SOURCE_DIR}/include
                                     ${CMAKE_SOURCE_DIR})
target_compile_definitions(
  snipepost_options
  INTERFACE $<$<NOT:$<BOOL:${SNIPEPOST_FLOW_ONLY}>>:BOOST_LOG_DYN_LINK>
            ASIO_STANDALONE ASIO_NO_DEPRECATED
            # Otherwise the allocator that a source file uses depends on the
            # headers included before Asio's, and memory may be freed with
            # another allocator than the one that allocated it.
            ASIO_DISABLE_STD_ALIGNED_ALLOC
            BOOST_BIND_GLOBAL_PLACEHOLDERS)
target_compile_options(snipepost_options INTERFACE -Wall -Wextra -Wpedantic
                                                   -Werror)
target_link_libraries(snipepost_options INTERFACE Threads::Threads)
if(SNIPEPOST_FLOW_ONLY)
  target_compile_options(snipepost_options INTERFACE -fno-pie
                                                     -ffunction-sections)
endif()
if(SNIPEPOST_SANITIZE)
  # GCC's -fsanitize=undefined includes the checks of enumerations and bool, but
  # not the two floating-point checks.
  set(sanitizers
      address,undefined,float-divide-by-zero,float-cast-overflow)
  target_compile_options(
    snipepost_options INTERFACE -fsanitize=${sanitizers}
                                -fno-sanitize-recover=all
                                -fno-omit-frame-pointer)
  target_link_options(snipepost_options INTERFACE -fsanitize=${sanitizers})
endif()

# snipepost_module(<Name> SOURCES <file>... LIBS <target>...) adds the library
# snipepost_<Name> from sources in the calling folder.
function(snipepost_module name)
  cmake_parse_arguments(arg "" "" "SOURCES;LIBS" ${ARGN})
  add_library(snipepost_${name} STATIC ${arg_SOURCES})
  target_link_libraries(snipepost_${name} PUBLIC snipepost_options ${arg_LIBS})
endfunction()

# snipepost_program(<name> SOURCES <file>... LIBS <target>...) adds a program.
function(snipepost_program name)
  cmake_parse_arguments(arg "" "" "SOURCES;LIBS" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  target_link_libraries(${name} PRIVATE snipepost_options ${arg_LIBS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY
                                           ${CMAKE_BINARY_DIR}/bin)
endfunction()

# Builds all test programs defined by snipepost_test() and nothing else.
add_custom_target(unit_tests)

# snipepost_test(<Name> SOURCES <file>... LIBS <target>... [TIMEOUT <s>]) adds
# a Boost.Test program, run by CTest as <Name>.
function(snipepost_test name)
  cmake_parse_arguments(arg "" "TIMEOUT" "SOURCES;LIBS" ${ARGN})
  if(NOT arg_TIMEOUT)
    set(arg_TIMEOUT 120)
  endif()
  add_executable(test_${name} ${arg_SOURCES} ${CMAKE_SOURCE_DIR}/tests/Main.cpp)
  target_compile_definitions(test_${name} PRIVATE BOOST_TEST_DYN_LINK)
  target_link_libraries(test_${name} PRIVATE snipepost_options ${arg_LIBS}
                                             Boost::unit_test_framework)
  add_dependencies(unit_tests test_${name})
  add_test(NAME ${name} COMMAND test_${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT ${arg_TIMEOUT})
endfunction()
