// Tests HTTP heads and the parser, load reports, endpoint lists, start times and peer envelopes.
#include <gtest/gtest.h>

#include "discovery/endpoint_list.h"
#include "discovery/start_time_converter.h"
#include "http/parser.h"
#include "peers/envelope.h"
#include "upstream/http/load_report.h"

using namespace silverreach;
using namespace silverreach::http;

namespace {
int status_of(const std::string& head, HeadLimits limits = {}) {
    const auto fault = check_request_head(head + "\r\n", limits);
    return fault ? fault->status : 0;
}
struct RecordedEvents : Parser::Events {
    std::vector<Head> heads;
    std::string body, trailers;
    int message_ends = 0, fault_status = 0;
    bool on_head(Head& head) override { return heads.push_back(head), true; }
    void on_body(std::string_view bytes) override { body += bytes; }
    void on_message_end(Fields& fields) override {
        ++message_ends;
        for (const Field& field : fields)
            trailers += field.name + "=" + field.value + ";";
    }
    void on_fault(const Fault& reported) override { fault_status = reported.status; }
};
// Feeds all messages in pieces of `step` bytes.
void feed(Parser& parser, const std::string& all, std::size_t step) {
    std::string pending;
    for (std::size_t i = 0; i < all.size() || !pending.empty();) {
        const std::size_t size = std::min(step, all.size() - std::min(i, all.size()));
        pending += all.substr(std::min(i, all.size()), size);
        i += size;
        const std::size_t consumed = parser.feed(pending);
        pending.erase(0, consumed);
        if (parser.done())
            parser.reset();
        else if (consumed == 0 && size == 0)
            break;
    }
}
}  // namespace

TEST(Head, RejectsAmbiguousHeads) {
    const std::string line = "POST / HTTP/1.1\r\nHost: h\r\n";
    EXPECT_EQ(status_of(line), 0);
    EXPECT_EQ(status_of(line + "Content-Length: 5\r\n"), 0);
    for (const char* invalid :
         {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
          "Content-Length: 5\r\nContent-Length: 5\r\n", "Content-Length: +5\r\n",
          "Content-Length: -5\r\n", "Content-Length: 5, 5\r\n", "Content-Length: 0x5\r\n",
          "Content-Length: \r\n", "Content-Length : 5\r\n", "X: a\n b\r\n", "X: a\r\n folded\r\n",
          " X: a\r\n", "X\r\n", ": a\r\n", "X: a\rb\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "Host: other\r\n",
          "X: \x01\r\n", "X y: a\r\n", "Content-Length: 5\nX: a\r\n"})
        EXPECT_EQ(status_of(line + invalid), 400) << invalid;
    EXPECT_EQ(status_of(line + std::string("X: a\0b\r\n", 8)), 400);
    EXPECT_EQ(status_of(line + "Transfer-Encoding: gzip, chunked\r\n"), 501);
    EXPECT_EQ(status_of(line + "Transfer-Encoding: xchunked\r\n"), 501);
    EXPECT_EQ(status_of(line + "Content-Length: 9999999999999999999999\r\n"), 413);
    EXPECT_EQ(status_of("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n"), 400);
    EXPECT_EQ(status_of("GET / HTTP/1.1\r\n"), 400) << "no Host";
    EXPECT_EQ(status_of("GET / HTTP/1.0\r\n"), 0);
    EXPECT_EQ(status_of("GET / HTTP/2.0\r\nHost: h\r\n"), 505);
    for (const char* invalid :
         {"GET  / HTTP/1.1\r\nHost: h\r\n", "GET /\r\nHost: h\r\n", "G(T / HTTP/1.1\r\nHost: h\r\n",
          "GET /\t HTTP/1.1\r\nHost: h\r\n", "GET / HTTP/1.1 \r\nHost: h\r\n",
          "GET / HTTP/1.1\r\nHost: a/b\r\n"})
        EXPECT_EQ(status_of(invalid), 400) << invalid;
    EXPECT_EQ(
        status_of("GET /" + std::string(100, 'a') + " HTTP/1.1\r\nHost: h\r\n", {50, 1000, 100}),
        414);
    EXPECT_EQ(status_of(line + "X: " + std::string(1000, 'a') + "\r\n", {50, 500, 100}), 431);
    EXPECT_EQ(status_of(line + "A: 1\r\nB: 2\r\n", {50, 500, 2}), 431);
}

TEST(Head, RejectsInvalidPartialHeads) {
    EXPECT_EQ(check_partial_head("GET /" + std::string(200, 'a'), {100, 1000, 10})->status, 414);
    EXPECT_EQ(check_partial_head("GET / HTTP/1.1\r\nX: " + std::string(2000, 'a'), {100, 1000, 10})
                  ->status,
              431);
    EXPECT_EQ(check_partial_head("GET / HTTP/1.1\nHost: h\n\n", {})->status, 400)
        << "the end of a head with bare LF would never be found";
    EXPECT_FALSE(check_partial_head("GET / HTTP/1.1\r\nHost: h\r\n", {}));
}

TEST(Head, ValidatesRequestIdsAndTraceparents) {
    EXPECT_TRUE(is_valid_request_id("a-B_9."));
    for (const std::string& invalid : {std::string(), std::string(65, 'a'), std::string("a b"),
                                       std::string("a\r\nX: y"), std::string("\xc3\xa9")})
        EXPECT_FALSE(is_valid_request_id(invalid));
    EXPECT_TRUE(is_valid_traceparent("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"));
    EXPECT_FALSE(is_valid_traceparent("00-00000000000000000000000000000000-b7ad6b7169203331-01"));
    EXPECT_FALSE(is_valid_traceparent("00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"));
    EXPECT_FALSE(is_valid_traceparent("ff"));
}

TEST(Head, FormatsHttpDates) {
    EXPECT_EQ(format_http_date(784111777), "Sun, 06 Nov 1994 08:49:37 GMT");
}

TEST(Head, RecognizesHopByHopFields) {
    const Fields fields = {{"Connection", "close, X-Mine"}, {"Connection", "keep-alive"}};
    const auto options = connection_options(fields);
    EXPECT_TRUE(is_hop_by_hop(options, "x-mine"));
    EXPECT_TRUE(is_hop_by_hop(options, "TE"));
    EXPECT_FALSE(is_hop_by_hop(options, "Accept"));
    EXPECT_TRUE(list_contains(fields, "connection", "KEEP-ALIVE"));
}

TEST(Parser, ParsesTheSameForEverySplit) {
    const std::string all =
        "\r\nPOST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
        "chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\n"
        "GET /b HTTP/1.1\r\nHost: h\r\n\r\nPUT /c HTTP/1.1\r\nHost: h\r\nContent-Length: "
        "2\r\n\r\nxy";
    for (std::size_t step = 1; step <= all.size(); ++step) {
        RecordedEvents events;
        Parser parser(Parser::Kind::request, events);
        feed(parser, all, step);
        ASSERT_EQ(events.message_ends, 3) << step;
        EXPECT_EQ(events.body, "abcdexy");
        EXPECT_EQ(events.heads[1].target, "/b");
        EXPECT_EQ(events.heads[2].content_length, 2u);
        EXPECT_EQ(events.trailers, "T=v;");
        EXPECT_TRUE(parser.idle());
    }
}

TEST(Parser, ReportsInvalidChunksAndTruncatedMessages) {
    for (const char* invalid :
         {"zz\r\n", "3\r\nabcd\r\n", "-1\r\n", "3\nabc\r\n", "fffffffffffffffff\r\n"}) {
        RecordedEvents events;
        Parser parser(Parser::Kind::request, events);
        parser.feed(
            std::string("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n") +
            invalid);
        EXPECT_EQ(events.fault_status, 400) << invalid;
        EXPECT_EQ(events.message_ends, 0);
    }
    RecordedEvents events;
    Parser parser(Parser::Kind::response, events);
    parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab");
    parser.finish();
    EXPECT_EQ(events.fault_status, 400);
}

// Guards against request smuggling: bytes that this parser accepts too leniently may be read as the
// next message by another program on the path.
TEST(Parser, ValidatesChunksOfRequestsAndResponses) {
    const std::string request = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto run = [&](bool is_request, const std::string& body, std::size_t step) {
        RecordedEvents events;
        Parser parser(is_request ? Parser::Kind::request : Parser::Kind::response, events);
        feed(parser, (is_request ? request : response) + body, step);
        return events;
    };
    for (const bool is_request : {true, false})
        for (const std::size_t step : {std::size_t{1}, std::size_t{1000}}) {
            for (const char* invalid :
                 {"5\r\nhelloXX\r\n0\r\n\r\n", "5;a=b\nhello\r\n0\r\n\r\n",
                  "5 \r\nhello\r\n0\r\n\r\n", "5\r\nhello\r\n0\r\nT : v\r\n\r\n",
                  "5\r\nhello\n0\r\n\r\n", "5\r\nhello\r\r\n0\r\n\r\n", "5;\r\nhello\r\n0\r\n\r\n",
                  "5;a=\r\nhello\r\n0\r\n\r\n", "5;a=\"x\r\nhello\r\n0\r\n\r\n",
                  "\r\n5\r\nhello\r\n0\r\n\r\n", "0x5\r\nhello\r\n0\r\n\r\n",
                  "5\r\nhello\r\n0\r\n T: v\r\n\r\n", "5\r\nhello\r\n0\r\nT: v\n\r\n",
                  "5\r\nhello\r\n0\r\nT: v\r\n x\r\n\r\n", "5\r\nhello\r\n0\r\nT: a\x01\r\n\r\n",
                  "+5\r\nhello\r\n0\r\n\r\n", "5\r\nhello\r\n0\r\n\n"}) {
                const RecordedEvents events = run(is_request, invalid, step);
                EXPECT_EQ(events.fault_status, is_request ? 400 : 502) << invalid;
                EXPECT_EQ(events.message_ends, 0) << invalid;
            }
            for (const char* valid :
                 {"5\r\nhello\r\n0\r\n\r\n", "5;a=b;c;d=\"e \\\" f\"\r\nhello\r\n0\r\n\r\n",
                  "2\r\nhe\r\n003\r\nllo\r\n0000\r\nT: v\r\nU:\r\n\r\n",
                  "2\r\nhe\r\n3;x\r\nllo\r\n0;y=z\r\n\r\n"}) {
                const RecordedEvents events = run(is_request, valid, step);
                EXPECT_EQ(events.fault_status, 0) << valid;
                EXPECT_EQ(events.message_ends, 1) << valid;
                EXPECT_EQ(events.body, "hello") << valid;
            }
        }
    EXPECT_EQ(run(true, "5;" + std::string(2000, 'a') + "\r\n", 1000).fault_status, 400);
    EXPECT_EQ(run(true, "0\r\nT: " + std::string(9000, 'a') + "\r\n\r\n", 1000).fault_status, 400);
}

TEST(Parser, ParsesResponsesOfEveryForm) {
    RecordedEvents events;
    Parser parser(Parser::Kind::response, events);
    feed(
        parser,
        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        7);
    ASSERT_EQ(events.heads.size(), 1u) << "1xx responses are skipped";
    EXPECT_EQ(events.body, "ok");
    parser.set_response_to_head(true);
    feed(parser, "HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n", 9);
    EXPECT_EQ(events.message_ends, 2);
    parser.set_response_to_head(false);
    parser.feed("HTTP/1.0 200 OK\r\n\r\nuntil the end");
    EXPECT_EQ(events.message_ends, 2);
    parser.finish();
    EXPECT_EQ(events.message_ends, 3);
    EXPECT_TRUE(events.heads.back().until_close);
}

TEST(LoadReport, ParsesOrcaTextAndJson) {
    const auto text = upstream_http::parse_load_report(
        "TEXT cpu_utilization=0.5, named_metrics.queue=3,named_metrics.inflight=7,other=x");
    EXPECT_EQ(text.utilization, 0.5);
    EXPECT_EQ(text.queued_requests, 3);
    EXPECT_EQ(text.in_flight_requests, 7);
    const auto json = upstream_http::parse_load_report(
        R"(JSON {"cpu_utilization": 0.25, "named_metrics": {"queue": 2}})");
    EXPECT_EQ(json.utilization, 0.25);
    EXPECT_EQ(json.queued_requests, 2);
    for (const char* invalid : {"", "BIN abc", "TEXT queue", "TEXT named_metrics.queue=-4",
                                "JSON [", "TEXT named_metrics.queue=nan"})
        EXPECT_LT(upstream_http::parse_load_report(invalid).queued_requests, 0) << invalid;
}

TEST(EndpointList, RejectsAListWithOneInvalidEntry) {
    const auto list = [](const std::string& endpoint) {
        return R"({"versionInfo":"7","resources":[{"clusterName":"hosts","endpoints":[{"locality":{"zone":"a"},"lbEndpoints":[)" +
               endpoint + "]}]}]}";
    };
    const std::string one =
        R"({"endpoint":{"address":{"socketAddress":{"address":"::1","portValue":80}},"additionalAddresses":[{"address":{"socket_address":{"address":"127.0.0.1","port_value":81}}}]},"healthStatus":"DRAINING","loadBalancingWeight":3,"metadata":{"filterMetadata":{"silverreach":{"cell":2,"started_unix_ms":5}}}})";
    discovery::EndpointList parsed;
    std::vector<openapi::Problem> problems;
    ASSERT_TRUE(discovery::parse_endpoint_list(list(one), "s", "hosts", parsed, problems));
    EXPECT_EQ(parsed.version, "7");
    ASSERT_EQ(parsed.endpoints.size(), 1u);
    EXPECT_EQ(parsed.endpoints[0].entry.id, "[::1]:80");
    EXPECT_EQ(parsed.endpoints[0].entry.status, EndpointStatus::draining);
    EXPECT_EQ(parsed.endpoints[0].entry.cell, 2);
    EXPECT_EQ(parsed.endpoints[0].entry.zone, "a");
    EXPECT_EQ(parsed.endpoints[0].addresses, std::vector<std::string>{"127.0.0.1:81"});
    for (
        const std::string& invalid :
        {std::string("{"), std::string("{}"), list(one + "," + one), list("{}"),
         list(R"({"endpoint":{"address":{"socketAddress":{"address":"1.2.3.4","portValue":0}}}})"),
         list(
             R"({"endpoint":{"address":{"socketAddress":{"address":"1.2.3.4","portValue":1}}},"healthStatus":"FINE"})")}) {
        problems.clear();
        EXPECT_FALSE(discovery::parse_endpoint_list(invalid, "s", "hosts", parsed, problems))
            << invalid;
        EXPECT_FALSE(problems.empty());
    }
}

// Guards against numbers out of range that end the process or have no defined conversion.
TEST(EndpointList, RejectsNumbersOutOfRange) {
    const auto list = [](const std::string& fields) {
        return R"({"clusterName":"hosts","endpoints":[{"lbEndpoints":[{"endpoint":{"address":{"socketAddress":{"address":"1.2.3.4","portValue":1}}},)" +
               fields + "}]}]}";
    };
    const auto metadata = [](const std::string& field) {
        return R"("metadata":{"filterMetadata":{"silverreach":{)" + field + "}}}";
    };
    discovery::EndpointList parsed;
    std::vector<openapi::Problem> problems;
    ASSERT_TRUE(discovery::parse_endpoint_list(list(R"("loadBalancingWeight":2)"), "s", "hosts",
                                               parsed, problems));
    for (const std::string& fields :
         {std::string(R"("loadBalancingWeight":1e400)"), metadata(R"("started_unix_ms":1e300)"),
          metadata(R"("started_unix_ms":-1e300)"), metadata(R"("cell":1e19)")}) {
        problems.clear();
        EXPECT_FALSE(discovery::parse_endpoint_list(list(fields), "s", "hosts", parsed, problems))
            << fields;
        EXPECT_FALSE(problems.empty());
    }
}

TEST(StartTimeConverter, ConvertsAStartOnce) {
    discovery::StartTimeConverter converter;
    const Micros first = converter.convert("a", 1000, Micros(50'000'000), 3000);
    EXPECT_EQ(first, Micros(48'000'000));
    EXPECT_EQ(converter.convert("a", 1000, Micros(60'000'000), 99'000), first)
        << "a step of the wall clock does not change a converted start";
    EXPECT_EQ(converter.convert("a", 0, Micros(1), 1), Micros(0));
    EXPECT_EQ(converter.convert("b", 1, Micros(5), 100'000), Micros(1))
        << "a start before the origin of the clock is not converted to 0, which means long ago";
    EXPECT_EQ(converter.convert("c", 5000, Micros(70), 3000), Micros(70))
        << "a start in the future becomes the current time";
}

TEST(Envelope, ReportsWhyDatagramsAreDropped) {
    using namespace silverreach::peers;
    const std::string datagram = encode_envelope("hello", 2, "birds");
    EXPECT_EQ(decode_envelope(datagram, "birds", 3).payload, "hello");
    EXPECT_EQ(decode_envelope(datagram, "birds", 3).rank, 2);
    EXPECT_EQ(decode_envelope(datagram, "fish", 3).drop_reason, DropReason::fleet_mismatch);
    EXPECT_EQ(decode_envelope(datagram, "birds", 2).drop_reason, DropReason::unknown_rank);
    EXPECT_EQ(decode_envelope(datagram.substr(0, datagram.size() - 1), "birds", 3).drop_reason,
              DropReason::truncated);
    EXPECT_EQ(decode_envelope(datagram + "x", "birds", 3).drop_reason, DropReason::truncated);
    EXPECT_EQ(decode_envelope(datagram.substr(0, 9), "birds", 3).drop_reason,
              DropReason::truncated);
    EXPECT_EQ(decode_envelope("GET / HTTP/1.1", "birds", 3).drop_reason,
              DropReason::foreign_protocol);
    std::string other_version = datagram;
    other_version[4] = 9;
    EXPECT_EQ(decode_envelope(other_version, "birds", 3).drop_reason, DropReason::version_mismatch);
}
