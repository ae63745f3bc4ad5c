/** @file broken_answer_path_test.cpp What callers get when the server sends malformed answers. */
#include "scripted_server.h"
#include "vm_site.h"

#include "base/endpoint_func.h"

#include <catch2/catch.hpp>

using namespace cornelwell;

namespace {

constexpr std::uint16_t PORT = 27490; ///< First port of the site.
constexpr int BAD_GATEWAY = 502;

/** A site whose server was sound until it is in use, and then follows a script. */
class TroubledSite : public VmSite
{
public:
    TroubledSite() : VmSite(PORT)
    {
        startDaemon();
        CHECK(report("i1", 1000, 1) == 200);
        REQUIRE(askUntil(200) == 200);
        stopServer();
        const Endpoint address = parseEndpoint(serverAddress()).value();
        m_server = std::make_unique<ScriptedServer>(loop(), address.ip, address.port);
    }

    /**
     * Sends a caller's request.
     * @param statusAndFields Start of the answer's head, which is followed by the fields of a sound
     * one and a body.
     * @return the status that the caller gets.
     */
    int statusFor(const std::string &statusAndFields)
    {
        m_server->script.parts = {statusAndFields + soundFields() + "ok"};
        return ask();
    }

    /** Sends an upload that the server answers early and without a length. @return the status that
     * the caller gets. */
    int statusOfUpload(ServerEnding ending)
    {
        const std::string head = "HTTP/1.1 200 OK\r\nCornelwell-Try-Id: " + nextRequestId()
                                 + "\r\nCornelwell-Server-Seal: s\r\n\r\n";
        m_server->script = {{head + "part"}, "", ending, 100};
        const int status = ask(std::string(12 * 1024 * 1024, 'x'));
        m_server->script = {};
        return status;
    }

    /** @return the fields of a sound answer to the next request, and the empty line. */
    std::string soundFields() const
    {
        return "Cornelwell-Try-Id: " + nextRequestId()
               + "\r\nCornelwell-Server-Seal: s\r\nContent-Length: 2\r\n\r\n";
    }

    /** Adds a route for requests that may not be repeated, and waits until it is in force. */
    void addUnsafeRoute(const std::string &path)
    {
        nlohmann::json next = configuration();
        nlohmann::json route = next["routes"][0];
        route["name"] = "unsafe";
        route["path-prefix"] = path;
        route["kind"] = "non_idempotent";
        route["max-attempts"] = 3;
        next["version"] = "00000005";
        next["routes"].push_back(route);
        configure(next);
        int status = 404;
        for (int i = 0; i < 80 && status == 404; i++) {
            pause({50});
            status = statusOfUnsafe(path, "HTTP/1.1 200 OK\r\n");
        }
        REQUIRE(status == 200);
    }

    /** @return the status that the caller of an unsafe request gets. */
    int statusOfUnsafe(const std::string &path, const std::string &statusAndFields)
    {
        m_server->script.parts = {statusAndFields + soundFields() + "ok"};
        return ask("x", path + "x");
    }

    /** @return number of requests that have reached the server. */
    unsigned requests() const { return m_server->requests(); }

private:
    std::unique_ptr<ScriptedServer> m_server;
};

} // namespace

// Guards against the incident: callers got the part as a complete 200.
TEST_CASE("callers get no part of an answer to an upload that breaks off", "[node]")
{
    TroubledSite site;
    for (const ServerEnding ending :
         {ServerEnding::Reset, ServerEnding::Close, ServerEnding::HalfClose}) {
        INFO("ending " << static_cast<int>(ending));
        CHECK(site.statusOfUpload(ending) == BAD_GATEWAY);
        CHECK(site.statusFor("HTTP/1.1 200 OK\r\n") == 200);
    }
}

TEST_CASE("callers get no answer with a status that is none of HTTP", "[node]")
{
    TroubledSite site;
    for (const char *status : {"000", "001", "600", "999"}) {
        INFO(status);
        const std::string line = std::string("HTTP/1.1 ") + status + " Odd\r\n";
        CHECK(site.statusFor(line) == BAD_GATEWAY);
        // The body looks like an answer.
        const std::string inner = "HTTP/1.1 200 OK\r\n" + site.soundFields() + "ok";
        const std::string length = "Content-Length: " + std::to_string(inner.size()) + "\r\n\r\n";
        CHECK(site.statusFor(line + length + "HTTP/1.1 200 OK\r\n") == BAD_GATEWAY);
    }
    CHECK(site.statusFor("HTTP/1.1 200 OK\r\n") == 200);
}

// Guards against a second run of an unsafe request after a status of 000.
TEST_CASE("an unsafe request with such an answer reaches its server once", "[node]")
{
    TroubledSite site;
    site.addUnsafeRoute("/once/");
    for (const char *status : {"000", "099", "600"}) {
        INFO(status);
        const unsigned before = site.requests();
        const std::string line = std::string("HTTP/1.1 ") + status + " Odd\r\n";
        CHECK(site.statusOfUnsafe("/once/", line) == BAD_GATEWAY);
        // The field that says that a request has not run counts in a sound answer only.
        CHECK(site.statusOfUnsafe("/once/", line + "Cornelwell-Not-Executed: 1\r\n")
              == BAD_GATEWAY);
        site.pause({300});
        CHECK(site.requests() == before + 2);
    }
}

TEST_CASE("callers get no answer in whose head a field is malformed", "[node]")
{
    TroubledSite site;
    for (const char *line :
         {"Bad Name: x", "Bad\tName: x", "Bad\x01Name: x", "Bad\x7fName: x", "Bad\xe9Name: x",
          "Name : x", "Name\t: x", ": x", "Name", " Name: x", "\tName: x", "A: b\r\n c",
          "A: b\r\n\tc", "A:\r\n c", "A: b\r\n ", "Cornelwell-Server-Seal: s\r\n changed"}) {
        INFO(line);
        CHECK(site.statusFor(std::string("HTTP/1.1 200 OK\r\n") + line + "\r\n") == BAD_GATEWAY);
    }
    for (const char *line : {"A: b", "A:b", "A:", "A: ", "A: \t b \t ", "A: b\tc", "A: \xe9\xff",
                             "!#$%&'*+-.^_`|~09azAZ: x"}) {
        INFO(line);
        CHECK(site.statusFor(std::string("HTTP/1.1 200 OK\r\n") + line + "\r\n") == 200);
    }
}
