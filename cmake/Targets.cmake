# Compiler settings shared by every target of the project. -Wrestrict is off
# because GCC 12 reports it falsely for operator+ on std::string.
add_library(cowslipridge_options INTERFACE)
target_include_directories(cowslipridge_options
                           INTERFACE ${PROJECT_SOURCE_DIR}/src)
target_compile_options(cowslipridge_options INTERFACE -Wall -Wextra -Wpedantic
                                                      -Wshadow -Werror
                                                      -Wno-restrict)
target_link_libraries(cowslipridge_options INTERFACE Threads::Threads)
if(COWSLIPRIDGE_SANITIZE)
  target_compile_options(
    cowslipridge_options INTERFACE -fsanitize=${COWSLIPRIDGE_SANITIZE}
                                   -fno-omit-frame-pointer
                                   # cpprestsdk hides its types' information,
                                   # so that this check reports them falsely.
                                   -fno-sanitize=vptr
                                   # GCC 12 reports it falsely for variants.
                                   -Wno-maybe-uninitialized)
  target_link_options(cowslipridge_options INTERFACE
                      -fsanitize=${COWSLIPRIDGE_SANITIZE})
endif()

# Defines the library cowslipridge_NAME from the sources of the current folder.
function(cowslipridge_library name)
  file(GLOB sources CONFIGURE_DEPENDS *.cpp internal/*.cpp)
  if(NOT sources)
    add_library(cowslipridge_${name} INTERFACE)
    target_link_libraries(cowslipridge_${name} INTERFACE cowslipridge_options
                                                         ${ARGN})
    return()
  endif()
  add_library(cowslipridge_${name} STATIC ${sources})
  target_link_libraries(cowslipridge_${name} PUBLIC cowslipridge_options
                                                    ${ARGN})
endfunction()

# Defines the test program NAME from the sources of FOLDER and registers its
# tests with CTest.
function(cowslipridge_test name folder)
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${folder}/*.cpp)
  add_executable(${name} ${sources})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/tests)
  target_link_libraries(${name} PRIVATE ${ARGN} GTest::gmock GTest::gtest_main
                                        rapidcheck)
  gtest_discover_tests(${name} DISCOVERY_MODE PRE_TEST
                       PROPERTIES TIMEOUT 120 ENVIRONMENT
                                  "RC_PARAMS=seed=20261203")
endfunction()
