/** @file raw_server.h A server on a loopback socket, in a thread of its own, whose connections a
 * function handles. */
#pragma once

#include "base/identifier_type.h"

#include <functional>
#include <string>
#include <thread>

namespace cornelwell {

/** Handles one connection after the other. */
class RawServer
{
public:
    /**
     * @param serve Handles a connection, which is closed afterwards.
     * @param ip Where to listen. @param port The port; 0: one that the system chooses.
     */
    explicit RawServer(std::function<void(int connection)> serve,
                       const std::string &ip = "127.0.0.1", std::uint16_t port = 0);
    ~RawServer();
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    Endpoint endpoint; ///< Where it listens.

private:
    int m_socket = -1;
    std::thread m_thread;
};

/** Reads one whole request, head and body of a stated length. @return false when it ends before. */
bool readRequest(int connection);

/** Writes a text. */
void writeText(int connection, const std::string &text);

} // namespace cornelwell
