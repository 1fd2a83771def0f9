# Installs the build directory BUILD below WORK, builds the project SOURCE
# against it and runs its program.
function(run_step)
  execute_process(COMMAND ${ARGN} RESULT_VARIABLE Result)
  if(NOT Result EQUAL 0)
    message(FATAL_ERROR "failed with ${Result}: ${ARGN}")
  endif()
endfunction()

set(Flags "")
if(SANITIZE)
  set(Flags "-fsanitize=${SANITIZE}")
endif()

# A former installation must not hide a file that is no longer installed.
file(REMOVE_RECURSE ${WORK})
run_step(${CMAKE_COMMAND} --install ${BUILD} --prefix ${WORK}/prefix)
run_step(${CMAKE_COMMAND} -S ${SOURCE} -B ${WORK}/build -DCMAKE_PREFIX_PATH=${WORK}/prefix
         -DCMAKE_CXX_COMPILER=${CXX} -DCMAKE_CXX_FLAGS=${Flags})
run_step(${CMAKE_COMMAND} --build ${WORK}/build)
run_step(${WORK}/build/consumer)
