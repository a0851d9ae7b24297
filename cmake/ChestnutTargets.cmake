# Defines the static library chestnut::<name> from modules/<name>/<topic>/*.cpp.
# The remaining arguments are the libraries that it links publicly.
function(chestnut_module name)
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/modules/${name}/*.cpp)
    if(sources)
        add_library(chestnut_${name} STATIC ${sources})
        target_include_directories(chestnut_${name} PUBLIC ${CMAKE_SOURCE_DIR}/modules)
        target_link_libraries(chestnut_${name} PUBLIC ${ARGN})
    else()
        add_library(chestnut_${name} INTERFACE)
        target_include_directories(chestnut_${name} INTERFACE ${CMAKE_SOURCE_DIR}/modules)
        target_link_libraries(chestnut_${name} INTERFACE ${ARGN})
    endif()
    add_library(chestnut::${name} ALIAS chestnut_${name})
endfunction()

# Defines an executable from all sources in the current directory.
function(chestnut_program name)
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE ${ARGN})
endfunction()

# Defines the doctest executable test_<name> from tests/<name>/*.cpp.
function(chestnut_test_program name)
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/${name}/*.cpp)
    if(NOT sources)
        return()
    endif()
    add_executable(test_${name} ${sources} ${CMAKE_SOURCE_DIR}/tests/main.cpp)
    target_include_directories(test_${name} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
    target_link_libraries(test_${name} PRIVATE ${ARGN} doctest::doctest)
    target_compile_definitions(test_${name} PRIVATE
        CHESTNUT_SOURCE_DIR="${CMAKE_SOURCE_DIR}" CHESTNUT_BINARY_DIR="${CMAKE_BINARY_DIR}")
endfunction()

# Defines the doctest executable test_<name> and registers it with CTest.
function(chestnut_test name)
    chestnut_test_program(${name} ${ARGN})
    if(NOT TARGET test_${name})
        return()
    endif()
    add_test(NAME ${name} COMMAND test_${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT 600)
endfunction()
