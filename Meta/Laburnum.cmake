# Build rules shared by every folder: a library, a program, a test program.

find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(ZLIB REQUIRED)
find_package(PkgConfig REQUIRED)
# cpp-httplib must be built with the flags it was compiled with; without them
# its threads crash when they are joined.
pkg_check_modules(HTTPLIB REQUIRED IMPORTED_TARGET cpp-httplib)
pkg_check_modules(GLOG REQUIRED IMPORTED_TARGET libglog)
if(NOT LABURNUM_PARTS STREQUAL "entry")
  pkg_check_modules(GRPC REQUIRED IMPORTED_TARGET grpc++)
endif()

add_library(LaburnumFlags INTERFACE)
target_include_directories(LaburnumFlags INTERFACE
  ${CMAKE_SOURCE_DIR}/Libraries ${CMAKE_SOURCE_DIR}/Tests)
target_compile_options(LaburnumFlags INTERFACE -Wall -Wextra -Werror)
target_compile_definitions(LaburnumFlags INTERFACE
  ASIO_STANDALONE SI_NO_CONVERSION)
target_link_libraries(LaburnumFlags INTERFACE Threads::Threads)

# Adds every folder below Group that has a CMakeLists.txt.
function(laburnum_add_subdirectories Group)
  file(GLOB Lists CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${Group}/*/CMakeLists.txt)
  foreach(List ${Lists})
    get_filename_component(Folder ${List} DIRECTORY)
    add_subdirectory(${Folder})
  endforeach()
endfunction()

# laburnum_library(LibX DEPENDS LibY PkgConfig::GLOG): all sources of the folder.
function(laburnum_library Name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB Sources CONFIGURE_DEPENDS *.cpp)
  if(Sources)
    add_library(${Name} STATIC ${Sources})
    target_link_libraries(${Name} PUBLIC LaburnumFlags ${ARG_DEPENDS})
  else()
    add_library(${Name} INTERFACE)
    target_link_libraries(${Name} INTERFACE LaburnumFlags ${ARG_DEPENDS})
  endif()
endfunction()

# laburnum_program(name DEPENDS LibX): all sources of the folder.
function(laburnum_program Name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB Sources CONFIGURE_DEPENDS *.cpp)
  add_executable(${Name} ${Sources})
  target_link_libraries(${Name} PRIVATE LaburnumFlags ${ARG_DEPENDS})
  set_target_properties(${Name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# laburnum_test(TestLibX DEPENDS LibX): every Test*.cpp of the folder, in one
# Catch2 program that ctest runs as one test.
function(laburnum_test Name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB Sources CONFIGURE_DEPENDS *.cpp)
  add_executable(${Name} ${Sources})
  target_link_libraries(${Name} PRIVATE LaburnumFlags TestMain ${ARG_DEPENDS})
  add_test(NAME ${Name} COMMAND ${Name})
endfunction()
