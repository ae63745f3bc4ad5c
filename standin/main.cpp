/** @file main.cpp Stand-ins of the systems served: `platform` and `backend`. Never installed. */
#include "app_standin.h"
#include "backend_standin.h"
#include "object_store_standin.h"
#include "platform_standin.h"

#include "base/endpoint_func.h"

#include <cxxopts.hpp>

#include <csignal>
#include <ctime>
#include <iostream>
#include <thread>

namespace {

using namespace cornelwell;

constexpr std::time_t WAIT_SECONDS_MAX = 3600; ///< A stand-in ends by itself after this.
constexpr std::chrono::milliseconds
    DRAIN_POLL(20); ///< Pause between looks at the requests that run.
constexpr Duration DRAIN_SHOWN
    = {3000}; ///< Time for which a stopping backend server says that it drains.

/** Waits for SIGTERM or SIGINT, which all threads have blocked. */
void waitForSignal()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    const timespec limit{WAIT_SECONDS_MAX, 0};
    sigtimedwait(&set, nullptr, &limit);
}

void blockSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

int serve(const cxxopts::ParseResult &parsed, HttpHandler &handler, unsigned threads,
          const std::function<void()> &stop)
{
    const auto endpoint = parseEndpoint(parsed["listen"].as<std::string>());
    if (!endpoint) {
        std::cerr << endpoint.error().detail << "\n";
        return EXIT_FAILURE;
    }
    HttpServerOptions options;
    options.threadsMax = threads;
    auto server = HttpServer::start(endpoint.value(), handler, options);
    if (!server) {
        std::cerr << server.error().where << ": " << server.error().detail << "\n";
        return EXIT_FAILURE;
    }
    waitForSignal();
    stop();
    return EXIT_SUCCESS;
}

int runPlatform(int argc, char **argv)
{
    cxxopts::Options options("cornelwell-standin platform",
                             "Stand-in of the platform's object API");
    options.add_options()("listen", "Address",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:7000"))(
        "reads", "Reads a second", cxxopts::value<double>()->default_value("2000"))(
        "writes", "Writes a second", cxxopts::value<double>()->default_value("300"))("h,help",
                                                                                     "Help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return EXIT_SUCCESS;
    }
    const SystemClock clock;
    MemoryStore store(clock);
    store.configure({}, {parsed["reads"].as<double>(), parsed["writes"].as<double>()});
    PlatformStandin handler(store);
    return serve(parsed, handler, 1000, [] {});
}

int runBackend(int argc, char **argv)
{
    cxxopts::Options options("cornelwell-standin backend", "Stand-in of a backend server");
    options.add_options()("listen", "Address",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:8080"))(
        "id", "Name", cxxopts::value<std::string>()->default_value("backend"))(
        "slots", "Requests at once", cxxopts::value<unsigned>()->default_value("8"))(
        "work-ms", "Time of a request", cxxopts::value<std::int64_t>()->default_value("5"))(
        "cold-ms", "Slow time after the start", cxxopts::value<std::int64_t>()->default_value("0"))(
        "health-lies", "Always says that it is ready")("h,help", "Help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return EXIT_SUCCESS;
    }
    const SystemClock clock;
    BackendStandinOptions standin;
    standin.id = parsed["id"].as<std::string>();
    standin.slots = parsed["slots"].as<unsigned>();
    standin.workMs = parsed["work-ms"].as<std::int64_t>();
    standin.coldMs = parsed["cold-ms"].as<std::int64_t>();
    standin.healthLies = parsed.count("health-lies") > 0;
    BackendStandin handler(standin, clock);
    return serve(parsed, handler, 300, [&] {
        handler.drain();
        const TimePoint shown = clock.now() + DRAIN_SHOWN;
        while (handler.busy() || clock.now() < shown)
            std::this_thread::sleep_for(DRAIN_POLL);
    });
}

/** The loop takes signals itself. */
int runOnLoop(int (*standin)(int, char **), int argc, char **argv)
{
    sigset_t none;
    sigemptyset(&none);
    pthread_sigmask(SIG_SETMASK, &none, nullptr);
    return standin(argc - 1, argv + 1);
}

/** Runs a loop that ends by itself after some time. */
void runLoop(EventLoop &loop)
{
    loop.after(seconds(WAIT_SECONDS_MAX), [&loop] { loop.stop(); });
    loop.run();
}

int runObjects(int argc, char **argv)
{
    cxxopts::Options options("cornelwell-standin objects", "Stand-in of the users' object store");
    options.add_options()("listen", "Address",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:7000"));
    const auto parsed = options.parse(argc, argv);
    const auto endpoint = parseEndpoint(parsed["listen"].as<std::string>());
    EventLoop loop;
    ObjectStoreStandin store(loop);
    LoopService service(loop, [&](const HttpRequest &request, const LoopService::Reply &reply) {
        store.handle(request, reply);
    });
    if (!endpoint || !service.listen(endpoint.value())) {
        std::cerr << "the address cannot be used\n";
        return EXIT_FAILURE;
    }
    loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
    runLoop(loop);
    return EXIT_SUCCESS;
}

int runApp(int argc, char **argv)
{
    cxxopts::Options options("cornelwell-standin app", "Stand-in of a server of the users");
    options.add_options()("listen", "Address", cxxopts::value<std::string>())(
        "reports", "Where its daemon takes reports",
        cxxopts::value<std::string>())("id", "Identity", cxxopts::value<std::string>())(
        "service", "Service", cxxopts::value<std::string>())("zone", "Data centre",
                                                             cxxopts::value<std::string>())(
        "slots", "Requests at once", cxxopts::value<unsigned>()->default_value("4"))(
        "work-ms", "Time of a request", cxxopts::value<std::int64_t>()->default_value("20"))(
        "next", "Service that each run calls", cxxopts::value<std::string>()->default_value(""))(
        "calls", "Where its daemon takes calls", cxxopts::value<std::string>())(
        "version", "Software version", cxxopts::value<std::string>()->default_value("v1"))(
        "fail-per-mille", "Share that fails", cxxopts::value<unsigned>()->default_value("0"))(
        "slow-factor", "Slowness", cxxopts::value<unsigned>()->default_value("1"))(
        "bad-after-ms", "Begin of both", cxxopts::value<std::int64_t>()->default_value("0"))(
        "bad-running", "Requests from which on it is bad",
        cxxopts::value<unsigned>()->default_value("0"))(
        "bad-path", "Paths for which it is bad", cxxopts::value<std::string>()->default_value(""));
    const auto parsed = options.parse(argc, argv);
    const auto listen = parseEndpoint(parsed["listen"].as<std::string>());
    const auto reports = parseEndpoint(parsed["reports"].as<std::string>());
    if (!listen || !reports) {
        std::cerr << "an address cannot be used\n";
        return EXIT_FAILURE;
    }
    AppStandinOptions app;
    app.id = parsed["id"].as<std::string>();
    app.service = parsed["service"].as<std::string>();
    app.zone = parsed["zone"].as<std::string>();
    app.listen = listen.value();
    app.reports = reports.value();
    app.slots = parsed["slots"].as<unsigned>();
    app.work = {parsed["work-ms"].as<std::int64_t>()};
    app.next = parsed["next"].as<std::string>();
    app.version = parsed["version"].as<std::string>();
    app.failPerMille = parsed["fail-per-mille"].as<unsigned>();
    app.slowFactor = parsed["slow-factor"].as<unsigned>();
    app.badAfter = {parsed["bad-after-ms"].as<std::int64_t>()};
    app.badRunning = parsed["bad-running"].as<unsigned>();
    app.badPath = parsed["bad-path"].as<std::string>();
    if (!app.next.empty()) {
        const auto calls = parseEndpoint(parsed["calls"].as<std::string>());
        if (!calls) {
            std::cerr << "an address cannot be used\n";
            return EXIT_FAILURE;
        }
        app.calls = calls.value();
    }
    EventLoop loop;
    AppStandin standin(loop, app);
    if (!standin.start()) {
        std::cerr << "the address cannot be listened on\n";
        return EXIT_FAILURE;
    }
    loop.onSignal(SIGTERM, [&standin] { standin.leave(); });
    runLoop(loop);
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv)
{
    blockSignals();
    const std::string kind = argc > 1 ? argv[1] : "";
    try {
        if (kind == "platform")
            return runPlatform(argc - 1, argv + 1);
        if (kind == "backend")
            return runBackend(argc - 1, argv + 1);
        if (kind == "objects")
            return runOnLoop(runObjects, argc, argv);
        if (kind == "app")
            return runOnLoop(runApp, argc, argv);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << error.what() << "\n";
        return EXIT_FAILURE;
    }
    std::cerr << "cornelwell-standin platform|backend|objects|app [--help]\n";
    return EXIT_FAILURE;
}
