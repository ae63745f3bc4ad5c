/** @file input_scheduler.cpp Admission by due times, token bucket and window for the grants. */
#include "bandwidth/input_scheduler.h"

#include <algorithm>
#include <cmath>

namespace cornelwell {

namespace {

constexpr double MS_PER_SECOND = 1000;

} // namespace

InputScheduler::Key InputScheduler::keyOf(const Transfer &transfer)
{
    return {{transfer.request.rank, transfer.wantedBy.ms}, transfer.request.id};
}

/** @return rate for transfers in bytes per millisecond; 0 when it is unknown. */
double InputScheduler::bytesPerMs() const
{
    return static_cast<double>(m_options.bytesPerSecond) * m_options.transferShare / MS_PER_SECOND;
}

/** @return time in which the link carries bytes of transfers; 0 when its rate is unknown. */
Duration InputScheduler::timeOf(std::uint64_t bytes) const
{
    if (m_options.bytesPerSecond == 0)
        return {0};
    return {static_cast<std::int64_t>(std::ceil(static_cast<double>(bytes) / bytesPerMs()))};
}

/**
 * @return true when @p added would make an accepted transfer of its rank late. Transfers of a
 * higher rank come before it; those of a lower one give way.
 */
bool InputScheduler::delaysOthers(const Transfer &added, std::uint64_t bytesBefore,
                                  TimePoint now) const
{
    std::uint64_t before = bytesBefore;
    for (auto item = m_order.upper_bound(keyOf(added)); item != m_order.end(); ++item) {
        const Transfer &transfer = m_transfers.at(item->second);
        if (transfer.request.rank != added.request.rank)
            return false;
        before += transfer.request.bytes - transfer.arrived;
        if (now + timeOf(before) <= transfer.wantedBy
            && now + timeOf(before + added.request.bytes) > transfer.wantedBy)
            return true;
    }
    return false;
}

InputAdmission InputScheduler::submit(const InputTransfer &transfer, std::uint64_t heldBytes,
                                      TimePoint now)
{
    Transfer added;
    added.request = transfer;
    const bool wantsSoftDue = transfer.softDue > now && !transfer.acceptsLate;
    added.wantedBy = wantsSoftDue ? std::min(transfer.softDue, transfer.due) : transfer.due;
    std::uint64_t before = 0;
    std::uint64_t held = heldBytes + transfer.bytes;
    const Key key = keyOf(added);
    for (const Key &other : m_order) {
        const Transfer &accepted = m_transfers.at(other.second);
        held += accepted.request.bytes;
        if (other < key)
            before += accepted.request.bytes - accepted.arrived;
    }
    const Duration wait = timeOf(before);
    if (now + timeOf(transfer.bytes) > transfer.due)
        return {InputVerdict::TooLate, wait};
    if (transfer.waitMax.ms >= 0 && wait > transfer.waitMax)
        return {InputVerdict::Busier, wait};
    const TimePoint end = now + timeOf(before + transfer.bytes);
    const bool late = wait.ms > 0 && !transfer.acceptsLate && end > transfer.softDue;
    if (held > m_options.heldBytesMax || end > transfer.due || late
        || delaysOthers(added, before, now))
        return {InputVerdict::Full, wait};
    m_order.insert(key);
    m_committedBytes += transfer.bytes;
    m_transfers.emplace(transfer.id, added);
    return {InputVerdict::Accepted, wait};
}

InputProgress InputScheduler::handleReceived(InputTransferId id, std::size_t bytes, TimePoint now)
{
    const auto found = m_transfers.find(id);
    if (found == m_transfers.end())
        return InputProgress::Unknown;
    Transfer &transfer = found->second;
    if (bytes == 0 || bytes > transfer.granted - transfer.arrived) {
        remove(id);
        return InputProgress::Excess;
    }
    transfer.arrived += bytes;
    transfer.progressAt = now;
    m_otherInput -= static_cast<std::int64_t>(bytes);
    m_committedBytes -= bytes;
    m_outstanding[transfer.request.otherDataCentre ? 1 : 0] -= bytes;
    if (transfer.arrived < transfer.request.bytes)
        return InputProgress::Partial;
    remove(id);
    return InputProgress::Whole;
}

void InputScheduler::remove(InputTransferId id)
{
    const auto found = m_transfers.find(id);
    if (found == m_transfers.end())
        return;
    const Transfer &transfer = found->second;
    m_committedBytes -= transfer.request.bytes - transfer.arrived;
    m_outstanding[transfer.request.otherDataCentre ? 1 : 0] -= transfer.granted - transfer.arrived;
    m_order.erase(keyOf(transfer));
    m_transfers.erase(found);
    if (m_transfers.empty())
        m_otherInput = 0;
}

void InputScheduler::refill(TimePoint now)
{
    if (m_options.bytesPerSecond == 0 || now <= m_refilledAt)
        return;
    const auto elapsedMs = static_cast<double>((now - m_refilledAt).ms);
    m_budgetBytes = std::min(m_budgetBytes + elapsedMs * bytesPerMs(),
                             static_cast<double>(m_options.burst.ms) * bytesPerMs());
    m_refilledAt = now;
    // Below 0 while the bytes of a transfer's message are recorded in parts.
    if (m_otherInput <= 0)
        return;
    const double debtMaxBytes = static_cast<double>(m_options.debtMax.ms) * bytesPerMs();
    m_budgetBytes = std::max(m_budgetBytes - static_cast<double>(m_otherInput), -debtMaxBytes);
    m_otherInput = 0;
}

void InputScheduler::recordInput(std::size_t bytes)
{
    // Without transfers the budget refills sooner than a transfer could use it.
    if (!m_transfers.empty())
        m_otherInput += static_cast<std::int64_t>(bytes);
}

std::vector<InputGrant> InputScheduler::grants(TimePoint now)
{
    refill(now);
    std::vector<InputGrant> grants;
    for (const Key &key : m_order) {
        Transfer &transfer = m_transfers.at(key.second);
        const bool remote = transfer.request.otherDataCentre;
        std::uint64_t &outstanding = m_outstanding[remote ? 1 : 0];
        const std::size_t outstandingMax
            = remote ? m_options.remoteOutstandingMax : m_options.outstandingMax;
        InputGrant grant{key.second, 0};
        const bool nothingOutstanding = transfer.granted == transfer.arrived;
        while (transfer.granted < transfer.request.bytes
               && (m_options.bytesPerSecond == 0 || m_budgetBytes > 0)) {
            const std::uint64_t bytes = std::min<std::uint64_t>(
                m_options.grantBytes, transfer.request.bytes - transfer.granted);
            if (outstanding + bytes > outstandingMax)
                break;
            transfer.granted += bytes;
            outstanding += bytes;
            m_budgetBytes -= static_cast<double>(bytes);
            grant.bytes += bytes;
        }
        if (grant.bytes == 0)
            continue;
        if (nothingOutstanding)
            transfer.progressAt = now;
        grants.push_back(grant);
    }
    return grants;
}

std::vector<std::pair<InputTransferId, InputFailure>> InputScheduler::expire(TimePoint now)
{
    std::vector<std::pair<InputTransferId, InputFailure>> failures;
    for (const auto &[id, transfer] : m_transfers) {
        const bool isOutstanding = transfer.granted > transfer.arrived;
        if (isOutstanding && now - transfer.progressAt >= m_options.progressTimeout)
            failures.emplace_back(id, InputFailure::Stalled);
        else if (now + timeOf(transfer.request.bytes - transfer.arrived) > transfer.request.due)
            failures.emplace_back(id, InputFailure::TooLate);
    }
    for (const auto &[id, failure] : failures)
        remove(id);
    return failures;
}

std::optional<Duration> InputScheduler::delay(TimePoint now)
{
    if (m_transfers.empty())
        return std::nullopt;
    refill(now);
    TimePoint next = NEVER;
    bool ungranted = false;
    for (const auto &[id, transfer] : m_transfers) {
        const Duration left = timeOf(transfer.request.bytes - transfer.arrived);
        next = std::min(next, transfer.request.due - left + Duration{1});
        if (transfer.granted > transfer.arrived)
            next = std::min(next, transfer.progressAt + m_options.progressTimeout);
        const bool remote = transfer.request.otherDataCentre;
        ungranted
            = ungranted
              || (transfer.granted < transfer.request.bytes
                  && m_outstanding[remote ? 1 : 0] + m_options.grantBytes
                         <= (remote ? m_options.remoteOutstandingMax : m_options.outstandingMax));
    }
    // A full window opens when bytes arrive, which is an event of its own.
    if (ungranted) {
        const bool paced = m_options.bytesPerSecond != 0 && m_budgetBytes <= 0;
        const double waitMs = paced ? std::floor(-m_budgetBytes / bytesPerMs()) + 1 : 0;
        next = std::min(next, now + Duration{static_cast<std::int64_t>(waitMs)});
    }
    return next > now ? next - now : Duration{0};
}

std::vector<InputTransferId> InputScheduler::notStarted() const
{
    std::vector<InputTransferId> ids;
    for (const auto &[id, transfer] : m_transfers) {
        if (transfer.granted == 0)
            ids.push_back(id);
    }
    return ids;
}

} // namespace cornelwell
