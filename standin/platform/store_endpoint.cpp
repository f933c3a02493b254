#include "standin/platform/store_endpoint.hpp"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <nlohmann/json.hpp>

#include "platform/http_status.hpp"
#include "platform/store_client.hpp"

namespace baobabrack::standin {

namespace {

constexpr std::size_t page_header_bytes = 16;
constexpr std::size_t offset_bytes = 8;
constexpr unsigned bits_per_byte = 8;
constexpr std::size_t base64_group_size = 4;
constexpr duration answer_timeout = std::chrono::seconds{5};

std::string encode_base64(const std::string& bytes) {
    using namespace boost::archive::iterators;
    using encoder = base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
    std::string text(encoder(bytes.begin()), encoder(bytes.end()));
    while (text.size() % base64_group_size != 0) {
        text += '=';
    }
    return text;
}

std::string encode_offset(std::uint64_t offset) {
    std::string bytes;
    for (std::size_t remaining = offset_bytes; remaining > 0; --remaining) {
        bytes += static_cast<char>((offset >> (bits_per_byte * (remaining - 1))) & 0xFFU);
    }
    return bytes;
}

std::uint64_t number_parameter(const http_request& request, const char* name) {
    return parse_number(request.parameter(name), 0);
}

http_response json_response(int status, const nlohmann::json& body) {
    return {
        .status = status, .headers = {{"Content-Type", "application/json"}}, .body = body.dump()};
}

}  // namespace

void store_endpoint::publish(const std::string& text) {
    store_.append({.topic = topic_id{"keyed.op"}, .records = {{.key = "config", .value = text}}});
}

void store_endpoint::handle(http_request request, http_responder responder) {
    if (request.path == "/-/log-append") {
        append(request, responder);
    } else if (request.path == "/-/log-read") {
        read(request, responder);
    } else if (request.path == "/-/log-newest") {
        newest_records(request, responder);
    } else {
        responder.respond({.status = platform::status_not_found});
    }
}

void store_endpoint::append(const http_request& request, const http_responder& responder) {
    // The body is encoded as a page without the page header.
    const auto page =
        platform::decode_read(std::string(page_header_bytes, '\0') + request.body, {});
    if (!page) {
        responder.respond({.status = platform::status_bad_request});
        return;
    }
    keyed_append call{.topic = topic_id{std::string{request.parameter("Topic")}},
                      .records = {},
                      .timeout = answer_timeout};
    for (const auto& entry : page.value().entries) {
        call.records.push_back(entry.record);
    }
    if (!request.parameter("At").empty()) {
        call.expected_end = log_offset{number_parameter(request, "At")};
    }
    link_.append(std::move(call), [responder](const result<append_reply>& reply) {
        if (!reply) {
            const bool invalid = reply.error().kind == failure_kind::invalid;
            responder.respond({.status = invalid ? platform::status_bad_request
                                                 : platform::status_service_unavailable});
            return;
        }
        const auto status =
            reply.value().stored ? platform::status_ok : platform::status_precondition_failed;
        responder.respond(json_response(status, {{"Offset", reply.value().first.get()},
                                                 {"EndOffset", reply.value().end.get()}}));
    });
}

void store_endpoint::read(const http_request& request, const http_responder& responder) {
    const topic_id topic{std::string{request.parameter("Topic")}};
    const std::chrono::milliseconds wait{number_parameter(request, "WaitMs")};
    link_.read(topic, log_offset{number_parameter(request, "From")}, wait, answer_timeout,
               [this, topic, responder](const result<keyed_page>& page) {
                   if (!page) {
                       responder.respond({.status = platform::status_gone});
                       return;
                   }
                   std::vector<keyed_record> records;
                   for (const auto& entry : page.value().entries) {
                       records.push_back(entry.record);
                   }
                   responder.respond({.headers = {{"Content-Type", "application/octet-stream"}},
                                      .body = encode_offset(page.value().end.get()) +
                                              encode_offset(store_.at(topic).first) +
                                              platform::encode_records(records)});
               });
}

void store_endpoint::newest_records(const http_request& request, const http_responder& responder) {
    const topic_id topic{std::string{request.parameter("Topic")}};
    link_.list_newest(topic, "", answer_timeout, [responder](const result<keyed_page>& page) {
        if (!page) {
            responder.respond({.status = platform::status_service_unavailable});
            return;
        }
        auto items = nlohmann::json::array();
        for (const auto& entry : page.value().entries) {
            items.push_back({{"Key", entry.record.key},
                             {"Value", encode_base64(entry.record.value)},
                             {"Offset", entry.offset.get()}});
        }
        responder.respond(json_response(
            platform::status_ok,
            {{"items", items}, {"HasMore", false}, {"EndOffset", page.value().end.get()}}));
    });
}

}  // namespace baobabrack::standin
