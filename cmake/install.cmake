include(CMakePackageConfigHelpers)
get_property(Packages GLOBAL PROPERTY RADISHRELAY_PACKAGES)
install(TARGETS ${Packages} EXPORT radishrelayTargets
        ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(EXPORT radishrelayTargets NAMESPACE radishrelay::
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/radishrelay)
configure_package_config_file(
  cmake/radishrelayConfig.cmake.in ${CMAKE_BINARY_DIR}/radishrelayConfig.cmake
  INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/radishrelay)
write_basic_package_version_file(${CMAKE_BINARY_DIR}/radishrelayConfigVersion.cmake
                                 COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_BINARY_DIR}/radishrelayConfig.cmake
              ${CMAKE_BINARY_DIR}/radishrelayConfigVersion.cmake
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/radishrelay)
