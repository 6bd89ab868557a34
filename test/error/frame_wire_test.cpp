// Guards against the delivery of a damaged frame, and against large allocations caused by a forged
// length in a header.
#include "transport/frame_wire.hpp"

#include <catch2/catch.hpp>
#include <cstring>

namespace guavashed
{
namespace
{

struct split_frame
{
    frame_header header{};
    std::string payload;
};

split_frame split(std::string const& bytes)
{
    split_frame out;
    REQUIRE(bytes.size() >= sizeof out.header);
    std::memcpy(&out.header, bytes.data(), sizeof out.header);
    out.payload = bytes.substr(sizeof out.header);
    return out;
}

std::string rows(std::size_t count)
{
    std::string out;
    for (std::size_t at = 0; at < count; ++at)
        out += "upstream-" + std::to_string(at) + " roster north-a 10.0.0." +
               std::to_string(at % 250) + ":8080\n";
    return out;
}

TEST_CASE("a frame is decoded to its exact payload or rejected")
{
    SECTION("a short payload is not compressed")
    {
        auto frame = split(encode_frame(frame_type::ping, "abc"));
        CHECK(frame.header.raw_length == 0);
        CHECK(frame.payload == "abc");
        CHECK(decode_payload(frame.header, std::move(frame.payload)) == "abc");
    }
    SECTION("a long list is compressed to less than a third")
    {
        std::string const list = rows(1000);
        auto frame = split(encode_frame(frame_type::fleet_changes, list));
        CHECK(frame.payload.size() * 3 < list.size());
        CHECK(is_acceptable(frame.header, max_payload_bytes));
        CHECK(decode_payload(frame.header, std::move(frame.payload)) == list);
    }
    SECTION("an incompressible payload is sent uncompressed")
    {
        std::string noise(4000, '\0');
        std::uint64_t state = 1;
        for (auto& byte : noise)
        {
            state = state * 6364136223846793005u + 1442695040888963407u;
            byte = static_cast<char>(state >> 56);
        }
        auto frame = split(encode_frame(frame_type::raft, noise));
        CHECK(frame.header.raw_length == 0);
        CHECK(decode_payload(frame.header, std::move(frame.payload)) == noise);
    }
    SECTION("a changed byte is rejected")
    {
        auto frame = split(encode_frame(frame_type::raft, rows(100)));
        frame.payload[frame.payload.size() / 2] ^= 1;
        CHECK_FALSE(decode_payload(frame.header, std::move(frame.payload)));
    }
    SECTION("a wrong uncompressed length is rejected")
    {
        auto frame = split(encode_frame(frame_type::raft, rows(100)));
        for (int const off : {-1, 1, 1000})
        {
            frame_header wrong = frame.header;
            wrong.raw_length += static_cast<std::uint32_t>(off);
            CHECK_FALSE(decode_payload(wrong, std::string(frame.payload)));
        }
    }
    SECTION("a header with an excessive length or a wrong magic is rejected")
    {
        frame_header header = split(encode_frame(frame_type::raft, rows(100))).header;
        CHECK(is_acceptable(header, max_payload_bytes));
        header.raw_length = max_payload_bytes + 1;
        CHECK_FALSE(is_acceptable(header, max_payload_bytes));
        header.raw_length = 0;
        header.length = max_hello_bytes + 1;
        CHECK_FALSE(is_acceptable(header, max_hello_bytes));
        header.length = 0;
        header.magic ^= 1;
        CHECK_FALSE(is_acceptable(header, max_payload_bytes));
    }
}

} // namespace
} // namespace guavashed
