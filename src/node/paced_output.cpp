/** @file paced_output.cpp Order of small and large messages on one connection. */
#include "node/paced_output.h"

namespace cornelwell {

void PacedOutput::write(std::string bytes)
{
    if (m_bulk == nullptr) {
        m_connection->write(std::move(bytes));
        return;
    }
    const bool first = m_queue.empty();
    m_queuedBytes += bytes.size();
    m_queue.push_back(std::move(bytes));
    if (first)
        sendQueued();
}

/** Sends small messages at once, until the first one of the queue is large. */
void PacedOutput::sendQueued()
{
    while (!m_queue.empty()) {
        std::string &first = m_queue.front();
        if (first.size() >= BULK_BYTES_MIN) {
            m_sentOfFirst = 0;
            m_bulk->add(first.size(), [self = shared_from_this()](std::size_t bytes) {
                return self->sendFrame(bytes);
            });
            return;
        }
        m_bulk->recordSent(first.size());
        m_queuedBytes -= first.size();
        m_connection->write(std::move(first));
        m_queue.pop_front();
    }
    if (m_closeWhenSent)
        m_connection->closeWhenSent();
}

BulkProgress PacedOutput::sendFrame(std::size_t bytes)
{
    if (!m_connection->isOpen()) {
        m_queue.clear();
        m_queuedBytes = 0;
        return BulkProgress::Ended;
    }
    if (m_connection->unsentBytes() > BULK_UNSENT_BYTES_MAX)
        return BulkProgress::Blocked;
    const std::string &first = m_queue.front();
    m_connection->write(first.substr(m_sentOfFirst, bytes));
    m_sentOfFirst += bytes;
    m_queuedBytes -= bytes;
    if (m_sentOfFirst == first.size()) {
        m_queue.pop_front();
        sendQueued();
    }
    return BulkProgress::Sent;
}

void PacedOutput::closeWhenSent()
{
    m_closeWhenSent = true;
    if (m_queue.empty())
        m_connection->closeWhenSent();
}

} // namespace cornelwell
