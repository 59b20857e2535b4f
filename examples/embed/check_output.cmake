# Runs PROGRAM and fails unless it exits with 0 and its output equals the contents of the file
# EXPECTED.
execute_process(COMMAND ${PROGRAM} OUTPUT_VARIABLE output RESULT_VARIABLE code)
file(READ ${EXPECTED} expected)
if(NOT code STREQUAL "0")
  message(FATAL_ERROR "exit code ${code}")
endif()
if(NOT output STREQUAL expected)
  message(FATAL_ERROR "output differs; expected:\n${expected}\ngot:\n${output}")
endif()
