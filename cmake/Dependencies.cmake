# Third-party libraries, all from Debian packages.
find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(Boost 1.74 REQUIRED)
find_package(gflags CONFIG REQUIRED)
find_package(prometheus-cpp CONFIG REQUIRED)
find_package(nlohmann_json CONFIG REQUIRED)

find_library(INIH_LIBRARY inih REQUIRED)
find_library(XXHASH_LIBRARY xxhash REQUIRED)
if(NOT COWSLIPRIDGE_GATEWAY_ONLY)
  find_package(CapnProto CONFIG REQUIRED)
  find_package(GTest REQUIRED)
  find_package(cpprestsdk CONFIG REQUIRED)
  find_package(rapidcheck CONFIG REQUIRED)
endif()

# easylogging++ ships as one source file that each project compiles itself.
find_path(EASYLOGGING_SOURCE_DIR easylogging++.cc REQUIRED)
add_library(easyloggingpp STATIC ${EASYLOGGING_SOURCE_DIR}/easylogging++.cc
                                 cmake/EasyloggingStorage.cpp)
target_compile_definitions(
  easyloggingpp PUBLIC ELPP_THREAD_SAFE ELPP_NO_DEFAULT_LOG_FILE
                       ELPP_DISABLE_DEFAULT_CRASH_HANDLING)
target_compile_options(easyloggingpp PRIVATE -w)
target_link_libraries(easyloggingpp PUBLIC Threads::Threads)
