find_package(Threads REQUIRED)
find_package(Poco REQUIRED COMPONENTS Foundation Net NetSSL Crypto Util)
find_package(Boost 1.74 REQUIRED COMPONENTS program_options unit_test_framework)
find_package(nlohmann_json REQUIRED)
find_package(PostgreSQL REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(SQLite3 REQUIRED)
find_package(PkgConfig REQUIRED)
# Debian's libjsonrpccpp ships pkg-config files only.
pkg_check_modules(jsonrpccpp REQUIRED IMPORTED_TARGET libjsonrpccpp-client
                  libjsonrpccpp-server jsoncpp)
