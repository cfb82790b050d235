# Prepares a build folder that may have been carried over from another checkout or machine.
#   cmake -D FOLDER=folder [-D PROGRAM=path in the folder] -P cmake/PrepareBuildFolder.cmake
#
# CMake refuses a folder that was configured for other sources, and then leaves the programs of an
# earlier build where they are. Objects for another processor don't link. So such a folder is removed.
# PROGRAM is removed in any case: a build that fails must not leave an older program behind.
cmake_minimum_required(VERSION 3.22)

if(NOT FOLDER)
    message(FATAL_ERROR "FOLDER is not set")
endif()
get_filename_component(folder "${FOLDER}" ABSOLUTE BASE_DIR "${CMAKE_CURRENT_SOURCE_DIR}")
get_filename_component(sources "${CMAKE_CURRENT_LIST_DIR}/.." ABSOLUTE)

# Sets result to the value of a variable in CMake's record of the machine, or to nothing.
function(read_recorded variable result)
    set(value "")
    file(GLOB records "${folder}/CMakeFiles/*/CMakeSystem.cmake")
    foreach(record ${records})
        file(STRINGS "${record}" lines REGEX "^set\\(${variable} ")
        if(lines MATCHES "\"([^\"]*)\"")
            set(value "${CMAKE_MATCH_1}")
        endif()
    endforeach()
    set(${result} "${value}" PARENT_SCOPE)
endfunction()

if(EXISTS "${folder}/CMakeCache.txt")
    file(STRINGS "${folder}/CMakeCache.txt" home REGEX "^CMAKE_HOME_DIRECTORY:")
    string(REGEX REPLACE "^[^=]*=" "" home "${home}")
    file(STRINGS "${folder}/CMakeCache.txt" cached REGEX "^CMAKE_CACHEFILE_DIR:")
    string(REGEX REPLACE "^[^=]*=" "" cached "${cached}")
    read_recorded(CMAKE_HOST_SYSTEM_PROCESSOR built_on)
    cmake_host_system_information(RESULT processor QUERY OS_PLATFORM)
    if(NOT home STREQUAL sources OR NOT cached STREQUAL folder OR NOT built_on STREQUAL processor)
        message(STATUS "Removing ${folder}: built for ${home} on ${built_on}")
        file(REMOVE_RECURSE "${folder}")
    endif()
endif()

if(PROGRAM)
    file(REMOVE "${folder}/${PROGRAM}")
endif()
