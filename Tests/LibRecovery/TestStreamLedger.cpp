#include <LibRecovery/StreamLedger.h>

#include <catch2/catch.hpp>
