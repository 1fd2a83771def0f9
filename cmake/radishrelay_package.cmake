# Defines the library of one package of the workspace.
#
# radishrelay_package(NAME [DEPENDS target...]) compiles src/*.cpp of the
# current directory into radishrelay_NAME and exports include/.
function(radishrelay_package Name)
  cmake_parse_arguments(Package "" "" "DEPENDS" ${ARGN})
  file(GLOB Sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
  add_library(radishrelay_${Name} STATIC ${Sources})
  add_library(radishrelay::${Name} ALIAS radishrelay_${Name})
  set_target_properties(radishrelay_${Name} PROPERTIES EXPORT_NAME ${Name})
  target_include_directories(
    radishrelay_${Name}
    PUBLIC $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>
           $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
  target_link_libraries(radishrelay_${Name} PUBLIC ${Package_DEPENDS})
  set_property(GLOBAL APPEND PROPERTY RADISHRELAY_PACKAGES radishrelay_${Name})
  install(DIRECTORY ${CMAKE_CURRENT_SOURCE_DIR}/include/
          DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
  if(RADISHRELAY_TESTS)
    radishrelay_package_tests(${Name})
  endif()
endfunction()

# Compiles tests/*.cpp of the current directory into one Boost.Test program
# that CTest runs as NAME.
function(radishrelay_package_tests Name)
  file(GLOB Tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
  if(NOT Tests)
    return()
  endif()
  add_executable(radishrelay_${Name}_tests
                 ${Tests} ${PROJECT_SOURCE_DIR}/cmake/test_main.cpp)
  target_compile_definitions(
    radishrelay_${Name}_tests
    PRIVATE RADISHRELAY_TEST_MODULE=${Name}
            RADISHRELAY_TEST_DATA="${CMAKE_CURRENT_SOURCE_DIR}/tests/data")
  target_link_libraries(radishrelay_${Name}_tests
                        PRIVATE radishrelay_${Name} Boost::unit_test_framework)
  add_test(NAME ${Name} COMMAND radishrelay_${Name}_tests --log_level=test_suite)
endfunction()
