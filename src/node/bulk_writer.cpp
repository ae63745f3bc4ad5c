/** @file bulk_writer.cpp The timer between frames, and connections that take no more bytes. */
#include "node/bulk_writer.h"

#include <algorithm>
#include <vector>

namespace cornelwell {

namespace {

/** Time after which a connection that took no bytes is tried again. */
constexpr Duration BLOCKED_RETRY_INTERVAL{15};

} // namespace

BulkWriter::BulkWriter(EventLoop &loop, OutputSchedulerOptions options)
    : m_loop(loop), m_scheduler(options)
{}

BulkWriter::~BulkWriter()
{
    m_loop.cancel(m_timer);
}

OutputFlowId BulkWriter::add(std::size_t bytes, Sink sink)
{
    const OutputFlowId id = ++m_lastFlow;
    m_flows.emplace(id, Flow{std::move(sink), bytes, 0});
    m_scheduler.add(id, bytes, 1);
    schedule(m_scheduler.delay(m_loop.now()).value_or(Duration{0}));
    return id;
}

void BulkWriter::remove(OutputFlowId flow)
{
    m_flows.erase(flow);
    m_scheduler.remove(flow);
}

void BulkWriter::schedule(Duration delay)
{
    if (m_timer != 0)
        return;
    m_timer = m_loop.after(delay, [this] {
        m_timer = 0;
        sendDue();
    });
}

BulkProgress BulkWriter::sendNow(OutputFlowId id, std::size_t bytes)
{
    // The sink may remove its own flow, so it runs on a copy.
    const Sink sink = m_flows.at(id).sink;
    const BulkProgress progress = sink(bytes);
    const auto found = m_flows.find(id);
    if (found == m_flows.end())
        return progress;
    Flow &flow = found->second;
    if (progress == BulkProgress::Blocked) {
        flow.bytesBlocked = bytes;
        m_scheduler.block(id);
        return progress;
    }
    flow.bytesBlocked = 0;
    flow.bytesLeft -= bytes;
    if (progress == BulkProgress::Ended || flow.bytesLeft == 0)
        remove(id);
    return progress;
}

void BulkWriter::retryBlocked()
{
    std::vector<OutputFlowId> blocked;
    for (const auto &[id, flow] : m_flows) {
        if (flow.bytesBlocked > 0)
            blocked.push_back(id);
    }
    std::sort(blocked.begin(), blocked.end());
    m_scheduler.unblockAll();
    for (const OutputFlowId id : blocked) {
        if (m_flows.count(id) != 0)
            sendNow(id, m_flows.at(id).bytesBlocked);
    }
}

void BulkWriter::sendDue()
{
    const TimePoint now = m_loop.now();
    retryBlocked();
    while (const auto grant = m_scheduler.next(now)) {
        if (m_flows.count(grant->flow) != 0)
            sendNow(grant->flow, grant->bytes);
    }
    if (m_flows.empty())
        return;
    schedule(m_scheduler.delay(now).value_or(BLOCKED_RETRY_INTERVAL));
}

} // namespace cornelwell
