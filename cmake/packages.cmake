# sardinelb_package(NAME [libraries...]) builds all sources in the current folder and its subfolders as the library
# sardinelb_NAME.
function(sardinelb_package name)
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_library(sardinelb_${name} STATIC ${sources})
  target_include_directories(sardinelb_${name} PUBLIC ${CMAKE_SOURCE_DIR})
  target_link_libraries(sardinelb_${name} PUBLIC ${ARGN})
endfunction()

# sardinelb_programs(PREFIX [libraries...]) builds each source in the current folder as a separate program.
function(sardinelb_programs prefix)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  foreach(source ${sources})
    get_filename_component(name ${source} NAME_WE)
    add_executable(${prefix}${name} ${source})
    target_link_libraries(${prefix}${name} PRIVATE ${ARGN})
  endforeach()
endfunction()

# sardinelb_tests(PREFIX [libraries...]) builds each test source in the current folder as a separate GoogleTest
# program and registers it with CTest. RapidCheck has a fixed seed, so that results are reproducible.
function(sardinelb_tests prefix)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*_test.cpp)
  foreach(source ${sources})
    get_filename_component(name ${source} NAME_WE)
    add_executable(${prefix}${name} ${source})
    target_link_libraries(${prefix}${name} PRIVATE ${ARGN} GTest::gtest_main rapidcheck rapidcheck_gtest)
    add_test(NAME ${prefix}${name} COMMAND ${prefix}${name})
    set_tests_properties(${prefix}${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 120)
  endforeach()
endfunction()
