# One part of the product: a static library of every source below src/<name>.
function(monsoongrade_part name)
    cmake_parse_arguments(PART "" "" "LINKS" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/${name}/*.cpp)
    if(name STREQUAL "rpc")
        list(APPEND sources ${CMAKE_SOURCE_DIR}/schema/monsoongrade.capnp.c++
            ${CMAKE_SOURCE_DIR}/schema/peer.capnp.c++)
    endif()
    if(name STREQUAL "gateway")
        list(APPEND sources ${CMAKE_SOURCE_DIR}/schema/gossip.capnp.c++
            ${CMAKE_SOURCE_DIR}/schema/placement.capnp.c++
            ${CMAKE_SOURCE_DIR}/schema/streamversions.capnp.c++
            ${CMAKE_SOURCE_DIR}/schema/usage.capnp.c++)
    endif()
    if(name STREQUAL "observability")
        list(APPEND sources /usr/include/easylogging++.cc)
        set_source_files_properties(/usr/include/easylogging++.cc PROPERTIES COMPILE_OPTIONS "-w")
    endif()
    add_library(monsoongrade_${name} STATIC ${sources})
    target_include_directories(monsoongrade_${name} PUBLIC
        ${CMAKE_SOURCE_DIR}/include ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR}/schema)
    target_compile_definitions(monsoongrade_${name} PUBLIC
        ASIO_STANDALONE ELPP_NO_DEFAULT_LOG_FILE ELPP_THREAD_SAFE ELPP_NO_LOG_TO_FILE
        MONSOONGRADE_VERSION="${PROJECT_VERSION}")
    # g++ 12 takes the optional results within Cap'n Proto and LEAF for uninitialised.
    target_compile_options(monsoongrade_${name} PUBLIC -Wall -Wextra -Wno-maybe-uninitialized)
    set(links)
    foreach(link ${PART_LINKS})
        if(TARGET monsoongrade_${link})
            list(APPEND links monsoongrade_${link})
        else()
            list(APPEND links ${link})
        endif()
    endforeach()
    target_link_libraries(monsoongrade_${name} PUBLIC ${links})
endfunction()

# A program: main.cpp and any sources beside it, named as its folder.
function(monsoongrade_program name)
    cmake_parse_arguments(PROGRAM "" "" "LINKS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.cpp)
    add_executable(${name} ${sources})
    foreach(link ${PROGRAM_LINKS})
        target_link_libraries(${name} PRIVATE monsoongrade_${link})
    endforeach()
endfunction()
