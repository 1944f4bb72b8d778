# Declares one package of the workspace as a static library.
# baobabwall_package(NAME [DEPENDS packages or libraries...])
# The sources are packages/NAME/src/*.cc; include paths start at packages/.
function(baobabwall_package name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cc)
  add_library(baobabwall_${name} STATIC ${sources})
  target_include_directories(baobabwall_${name} PUBLIC ${PROJECT_SOURCE_DIR}/packages)
  target_link_libraries(baobabwall_${name} PUBLIC ${ARG_DEPENDS})
endfunction()
