#include "baobabrack/observe/json_log.hpp"

#include <catch2/catch.hpp>

using namespace baobabrack;

TEST_CASE("json_quote escapes text as one valid JSON string", "[observe]") {
    CHECK(json_quote("plain") == "\"plain\"");
    CHECK(json_quote("a\"b\\c\n") == "\"a\\\"b\\\\c\\n\"");
    CHECK(json_quote(std::string_view("\x01", 1)) == "\"\\u0001\"");
    CHECK(json_quote("d\xC3\xA9j\xC3\xA0") == "\"d\xC3\xA9j\xC3\xA0\"");
    CHECK(json_quote("\xFF") == "\"\\ufffd\"");
}
