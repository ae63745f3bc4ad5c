/** @file exchange_test.cpp Parsing of requests and responses at every split of the bytes. */
#include "exchange/message_func.h"
#include "exchange/request_reader.h"
#include "http/response_reader.h"

#include <catch2/catch.hpp>

#include <optional>
#include <vector>

using namespace cornelwell;

namespace {

constexpr RequestLimits LIMITS{512, 64};

/** Feeds a response in two parts. @return its status and body; nothing when it is not complete. */
std::optional<HttpResponse> readResponseSplit(const std::string &text, std::size_t split,
                                              ResponseParseStatus &status)
{
    ResponseReader reader;
    reader.beginResponse("GET");
    for (const std::string &part : {text.substr(0, split), text.substr(split)}) {
        reader.feed(part);
        status = reader.parse();
        if (status == ResponseParseStatus::Failed)
            return std::nullopt;
    }
    if (status != ResponseParseStatus::Complete)
        return std::nullopt;
    return reader.take();
}

/** Checks that a response is malformed at every split of its bytes. */
void checkMalformed(const std::string &text)
{
    for (std::size_t split = 0; split <= text.size(); split++) {
        INFO(text << " split at " << split);
        ResponseParseStatus result = ResponseParseStatus::NeedMore;
        CHECK_FALSE(readResponseSplit(text, split, result));
        CHECK(result == ResponseParseStatus::Failed);
    }
}

/**
 * Feeds a text in two parts.
 * @param errorStatus Set to the error status when a request is rejected.
 * @return the requests parsed before that.
 */
std::vector<IncomingRequest> readSplit(const std::string &text, std::size_t split,
                                       unsigned &errorStatus)
{
    RequestReader reader(LIMITS);
    std::vector<IncomingRequest> requests;
    for (const std::string &part : {text.substr(0, split), text.substr(split)}) {
        reader.feed(part);
        RequestParseStatus status = reader.parse();
        while (status == RequestParseStatus::Complete) {
            requests.push_back(reader.take());
            status = reader.parse();
        }
        if (status == RequestParseStatus::Failed) {
            errorStatus = reader.errorStatus();
            return requests;
        }
    }
    return requests;
}

} // namespace

TEST_CASE("pipelined requests parse the same at every split of the bytes", "[exchange]")
{
    const std::string text = "GET /a/b?c=d HTTP/1.1\r\nHost: x\r\n\r\n"
                             "POST /p/ HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"
                             "POST /q/ HTTP/1.1\r\nHost: y\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "3\r\nabc\r\n2;x=1\r\nde\r\n0\r\n\r\n\r\n"
                             "GET /last HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    for (std::size_t split = 0; split <= text.size(); split++) {
        unsigned errorStatus = 0;
        const auto requests = readSplit(text, split, errorStatus);
        REQUIRE(errorStatus == 0);
        REQUIRE(requests.size() == 4);
        CHECK(requests[0].request.path == "/a/b?c=d");
        CHECK(requests[1].request.body == "hello");
        CHECK(requests[2].request.body == "abcde");
        CHECK(requests[2].request.headers.get("host") == "y");
        CHECK(requests[0].keepAlive);
        CHECK_FALSE(requests[3].keepAlive);
    }
}

TEST_CASE("ambiguous and malformed requests are rejected at every split of the bytes", "[exchange]")
{
    const std::vector<std::string> bad = {
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: "
        "identity\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 1x\r\n\r\na",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\naBc\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcX\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n100000000000000000\r\n",
        "GET / HTTP/1.1\r\nBad Name: x\r\n\r\n",
        "GET / HTTP/1.1\r\n: x\r\n\r\n",
        "GET /a b HTTP/1.1\r\nHost: x\r\n\r\n",
        "GET http://x/ HTTP/1.1\r\nHost: x\r\n\r\n",
        "GARBAGE\r\n\r\n",
    };
    for (const std::string &text : bad) {
        for (std::size_t split = 0; split <= text.size(); split++) {
            unsigned errorStatus = 0;
            const auto requests = readSplit(text, split, errorStatus);
            INFO(text);
            CHECK(requests.empty());
            CHECK(errorStatus == 400);
        }
    }
}

TEST_CASE("size limits of header and body are enforced", "[exchange]")
{
    unsigned errorStatus = 0;
    readSplit("GET /" + std::string(600, 'x') + " HTTP/1.1\r\nHost: x\r\n\r\n", 300, errorStatus);
    CHECK(errorStatus == 431);
    readSplit("POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n", 10, errorStatus);
    CHECK(errorStatus == 413);
    readSplit("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n50\r\n" + std::string(80, 'x'),
              20, errorStatus);
    CHECK(errorStatus == 413);
}

TEST_CASE("100 (Continue) is due once for a request that expects it", "[exchange]")
{
    RequestReader reader(LIMITS);
    reader.feed("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    CHECK(reader.parse() == RequestParseStatus::NeedMore);
    CHECK(reader.shouldSendContinue());
    CHECK_FALSE(reader.shouldSendContinue());
    reader.feed("ok");
    CHECK(reader.parse() == RequestParseStatus::Complete);
    CHECK_FALSE(reader.shouldSendContinue());
}

TEST_CASE("a response is complete at its length, its last chunk or the close, and not before",
          "[exchange]")
{
    const std::string counted = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";
    for (std::size_t cut = 0; cut < counted.size(); cut++) {
        ResponseReader reader;
        reader.beginResponse("GET");
        reader.feed(counted.substr(0, cut));
        CHECK(reader.parse() == ResponseParseStatus::NeedMore);
        CHECK(reader.handleEof() == ResponseParseStatus::Failed);
    }
    ResponseReader reader;
    reader.beginResponse("GET");
    reader.feed("HTTP/1.1 100 Continue\r\n\r\n" + counted + "rest");
    REQUIRE(reader.parse() == ResponseParseStatus::Complete);
    CHECK(reader.take().body == "abc");
    CHECK(reader.keepAlive());
    CHECK(reader.hasExtraBytes());

    ResponseReader untilClose;
    untilClose.beginResponse("GET");
    untilClose.feed("HTTP/1.1 200 OK\r\n\r\nabc");
    CHECK(untilClose.parse() == ResponseParseStatus::NeedMore);
    REQUIRE(untilClose.handleEof() == ResponseParseStatus::Complete);
    CHECK(untilClose.take().body == "abc");
    CHECK_FALSE(untilClose.keepAlive());

    ResponseReader chunked;
    chunked.beginResponse("GET");
    chunked.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    CHECK(chunked.parse() == ResponseParseStatus::NeedMore);
    CHECK(chunked.handleEof() == ResponseParseStatus::Failed);
    ResponseReader malformed;
    malformed.beginResponse("GET");
    malformed.feed("\x01\x02 no answer\r\n\r\n");
    CHECK(malformed.parse() == ResponseParseStatus::Failed);
}

TEST_CASE("hop-by-hop fields are not forwarded", "[exchange]")
{
    HttpHeaders headers;
    headers.add("Connection", "close, X-Hop");
    headers.add("X-Hop", "1");
    headers.add("Transfer-Encoding", "chunked");
    headers.add("Keep-Alive", "timeout=3");
    headers.add("X-Kept", "yes");
    const HttpHeaders forwarded = endToEndHeaders(headers);
    REQUIRE(forwarded.fields().size() == 1);
    CHECK(forwarded.get("x-kept") == "yes");

    HttpRequest request;
    request.method = "POST";
    request.path = "/x?y";
    request.headers = forwarded;
    request.body = "ab";
    CHECK(serializeRequest(request)
          == "POST /x?y HTTP/1.1\r\nX-Kept: yes\r\nContent-Length: 2\r\n\r\nab");
}

// Guards against a server that stops in the middle of its answer's head and closes: callers got a
// 200 with an empty or short body, framed as whole.
TEST_CASE("a response whose head is cut is never complete", "[exchange]")
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string heads[] = {
        "HTTP/1.1 200 OK\r\nId: 7\r\nSeal: s\r\nContent-Length: 3\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: 7\r\nSeal: s\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: 7\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: 7\r\nSeal: s\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nId: 7\r\n\r\n",
    };
    for (const std::string &head : heads) {
        for (const std::string &before : {std::string(), interim, interim + interim}) {
            for (std::size_t cut = 0; cut < head.size(); cut++) {
                INFO(head << " after " << before.size() << " bytes, cut at " << cut);
                ResponseReader reader;
                reader.beginResponse("GET");
                reader.feed(before + head.substr(0, cut));
                CHECK(reader.parse() == ResponseParseStatus::NeedMore);
                CHECK(reader.handleEof() == ResponseParseStatus::Failed);
                // The same with the bytes one by one.
                ResponseReader slow;
                slow.beginResponse("GET");
                bool complete = false;
                for (const char byte : before + head.substr(0, cut)) {
                    slow.feed(std::string(1, byte));
                    complete = complete || slow.parse() == ResponseParseStatus::Complete;
                }
                CHECK_FALSE(complete);
                CHECK(slow.handleEof() == ResponseParseStatus::Failed);
            }
        }
    }
    // A head that ends in bare line feeds is not one that a later close completes.
    ResponseReader bare;
    bare.beginResponse("GET");
    bare.feed("HTTP/1.1 200 OK\r\nId: 7\nSeal: s\n\n");
    CHECK(bare.parse() != ResponseParseStatus::Complete);
    CHECK(bare.handleEof() == ResponseParseStatus::Failed);
    // A length that never comes: the field's name is there, its value is cut.
    ResponseReader unfinished;
    unfinished.beginResponse("GET");
    unfinished.feed("HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 1");
    CHECK(unfinished.parse() == ResponseParseStatus::NeedMore);
    CHECK(unfinished.handleEof() == ResponseParseStatus::Failed);
}

// Guards against a server in trouble whose status is 000: callers waited for the answer that
// follows an interim one, or got bytes of its body as the answer.
TEST_CASE("a response with a status that is none of HTTP is malformed", "[exchange]")
{
    const std::string answer = "HTTP/1.1 200 OK\r\nId: 7\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";
    const std::string length = "Content-Length: " + std::to_string(answer.size()) + "\r\n\r\n";
    for (const char *status : {"000", "001", "099", "101", "600", "700", "999"}) {
        for (const std::string &fields :
             {std::string("\r\n"), length, std::string("Transfer-Encoding: chunked\r\n\r\n")}) {
            const std::string text
                = std::string("HTTP/1.1 ") + status + " Odd\r\n" + fields + answer;
            checkMalformed(text);
        }
    }
}

TEST_CASE("an interim response that states a body is malformed", "[exchange]")
{
    const std::string answer = "HTTP/1.1 200 OK\r\nId: 7\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";
    for (const std::string &fields :
         {"Content-Length: " + std::to_string(answer.size()) + "\r\n\r\n",
          std::string("Transfer-Encoding: chunked\r\n\r\n")}) {
        for (const char *status : {"100", "103"}) {
            const std::string text
                = std::string("HTTP/1.1 ") + status + " Odd\r\n" + fields + answer;
            checkMalformed(text);
        }
    }
}

// Guards against a line that begins with a blank: it was joined to the value above it, so that
// callers got a field that the server did not send.
TEST_CASE("a response with a malformed field is malformed as a whole", "[exchange]")
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string rest = "Content-Length: 2\r\n\r\nok";
    for (const char *line : {"Bad Name: x",    "Bad\tName: x",    "Bad\x01Name: x",
                             "Bad\x7fName: x", "Bad\xe9Name: x",  "Bad(Name: x",
                             "Name : x",       "Name\t: x",       ": x",
                             "Name",           " Name: x",        "\tName: x",
                             "A: b\r\n c",     "A: b\r\n\tc",     "A:\r\n c",
                             "A: b\r\n ",      "A: b\r\n \r\n c", "Seal: s\r\n changed",
                             "A: b\rc",        "A: b\nc: d",      "A: b\x01",
                             "A: b\x7f"}) {
        for (const std::string &before : {std::string(), interim}) {
            const std::string text = before + "HTTP/1.1 200 OK\r\n" + line + "\r\n" + rest;
            checkMalformed(text);
        }
    }
}

TEST_CASE("fields with unusual but valid characters are passed on", "[exchange]")
{
    const std::pair<std::string, std::string> fields[] = {
        {"A", "b\tc"}, {"A", "\xe9\xff"}, {"A", ""}, {"A", "b  c"}, {"!#$%&'*+-.^_`|~09azAZ", "x"}};
    for (const auto &[name, value] : fields) {
        const std::string text
            = "HTTP/1.1 200 OK\r\n" + name + ": \t" + value + " \r\nContent-Length: 2\r\n\r\nok";
        for (std::size_t split = 0; split <= text.size(); split++) {
            INFO(text << " split at " << split);
            ResponseParseStatus result = ResponseParseStatus::NeedMore;
            const auto response = readResponseSplit(text, split, result);
            REQUIRE(response);
            CHECK(response->headers.get(name) == value);
            CHECK(response->body == "ok");
        }
    }
}

TEST_CASE("a connection is not kept after a 204 that states a body", "[exchange]")
{
    for (const char *framing : {"Content-Length: 2", "Transfer-Encoding: chunked"}) {
        ResponseReader reader;
        reader.beginResponse("GET");
        reader.feed(std::string("HTTP/1.1 204 No Content\r\n") + framing + "\r\n\r\n");
        REQUIRE(reader.parse() == ResponseParseStatus::Complete);
        CHECK(reader.take().status == 204);
        CHECK_FALSE(reader.keepAlive());
    }
    ResponseReader reader;
    reader.beginResponse("GET");
    reader.feed("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(reader.parse() == ResponseParseStatus::Complete);
    CHECK(reader.take().status == 204);
    CHECK(reader.keepAlive());
}

TEST_CASE("unusual but valid responses are complete at every split of the bytes", "[exchange]")
{
    const std::string body = "Content-Length: 2\r\n\r\nok";
    const std::pair<std::string, int> texts[] = {
        {"HTTP/1.1 200 \r\n" + body, 200},
        {"HTTP/1.0 599 Odd\r\n" + body, 599},
        {"HTTP/1.1 299 Odd\r\n" + body, 299},
        {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Odd\r\n\r\nHTTP/1.1 201 Created\r\n" + body,
         201},
        {"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + body, 200},
        {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 404 Not Found\r\n" + body, 404},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n", 200},
    };
    for (const auto &[text, status] : texts) {
        for (std::size_t split = 0; split <= text.size(); split++) {
            INFO(text << " split at " << split);
            ResponseParseStatus result = ResponseParseStatus::NeedMore;
            const auto response = readResponseSplit(text, split, result);
            REQUIRE(response);
            CHECK(response->status == status);
            CHECK(response->body == "ok");
        }
    }
}

// Guards against fields without end that arrive in pieces that the parser can take as a whole: it
// counted the bytes of each piece only, and the daemon kept all fields.
TEST_CASE("a head without end is rejected at its limit, however its bytes are split", "[exchange]")
{
    const std::size_t responseLimit = ResponseLimits().headerBytes;
    for (const std::size_t shift : {0, 1, 2, 3, 4, 5, 6, 7}) {
        for (const std::size_t pieceFields : {1, 100}) {
            INFO("shift " << shift << ", " << pieceFields << " fields in a piece");
            std::string piece;
            for (std::size_t i = 0; i < pieceFields; i++)
                piece += "A: b\r\n";
            const std::string before = piece.substr(0, shift % piece.size());
            const std::string rotated = piece.substr(before.size()) + before;

            ResponseReader responses;
            responses.beginResponse("GET");
            responses.feed("HTTP/1.1 200 OK\r\n" + before);
            std::size_t sent = 0;
            while (responses.parse() == ResponseParseStatus::NeedMore && sent < 4 * responseLimit) {
                responses.feed(rotated);
                sent += rotated.size();
            }
            CHECK(responses.parse() == ResponseParseStatus::Failed);
            CHECK(sent <= responseLimit + rotated.size());

            RequestReader requests(LIMITS);
            requests.feed("GET / HTTP/1.1\r\n" + before);
            sent = 0;
            while (requests.parse() == RequestParseStatus::NeedMore
                   && sent < 100 * LIMITS.headerBytes) {
                requests.feed(rotated);
                sent += rotated.size();
            }
            CHECK(requests.parse() == RequestParseStatus::Failed);
            CHECK(requests.errorStatus() == 431);
            CHECK(sent <= 2 * LIMITS.headerBytes + rotated.size());
        }
    }
}
