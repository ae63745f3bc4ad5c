/** @file quota_coordinator.cpp Grants within the data centre and exchange with other ones. */
#include "quota/quota_coordinator.h"

#include <algorithm>
#include <cmath>

namespace cornelwell {

namespace {

constexpr double MS_PER_SECOND = 1000;
constexpr Duration DEMAND_SPAN{1000}; ///< Time constant of the data centre's demand.
/** Part of the quota up to which a data centre's demand may be served by tokens of other ones. */
constexpr double HELPED_DEMAND_MAX = 0.9;

} // namespace

QuotaCoordinator::QuotaCoordinator(QuotaFleet &fleet, DataCentreId dataCentre, QuotaOptions options,
                                   TimePoint now)
    : m_fleet(fleet)
    , m_dataCentre(std::move(dataCentre))
    , m_options(options)
    , m_startedAt(now)
    , m_lastRunAt(now)
    , m_fleetChangedAt(now)
    , m_lastSequence(static_cast<std::uint64_t>(now.ms))
{}

void QuotaCoordinator::setQuotas(const std::vector<TenantQuota> &quotas, TimePoint now)
{
    std::unordered_map<std::string, Ledger> ledgers;
    for (const TenantQuota &quota : quotas) {
        if (quota.perSecond <= 0)
            continue;
        const auto known = m_ledgers.find(quota.tenant);
        const auto position = known == m_ledgers.end()
                                  ? ledgers.emplace(quota.tenant, Ledger(quota, DEMAND_SPAN)).first
                                  : ledgers.emplace(quota.tenant, std::move(known->second)).first;
        position->second.quota = quota;
    }
    m_ledgers = std::move(ledgers);
    fleetChanged(now);
}

void QuotaCoordinator::setRemoteDataCentres(std::vector<DataCentreId> dataCentres)
{
    m_remoteDataCentres = std::move(dataCentres);
}

void QuotaCoordinator::fleetChanged(TimePoint now)
{
    checkPause(now);
    m_fleetChangedAt = now;
    for (auto &[tenant, ledger] : m_ledgers) {
        const bool coordinates = m_fleet.daemonShare() > 0 && m_fleet.coordinates(tenant);
        configure(ledger, now);
        if (coordinates && !ledger.coordinated)
            restart(ledger, now);
        ledger.coordinated = coordinates;
    }
}

void QuotaCoordinator::configure(Ledger &ledger, TimePoint now)
{
    const double share = m_fleet.coordinatorShare();
    ledger.bucket.configure(ledger.quota.perSecond * share,
                            (ledger.quota.burst + m_options.extraDepth) * share, now);
}

void QuotaCoordinator::handlePause(TimePoint now)
{
    for (auto &[tenant, ledger] : m_ledgers) {
        if (ledger.coordinated)
            restart(ledger, now);
    }
}

/** Empties a bucket but for the start tokens: the coordinator before this one, or in place of it,
 * has granted the tokens of the last seconds. */
void QuotaCoordinator::restart(Ledger &ledger, TimePoint now)
{
    ledger.bucket.empty(now);
    m_counts.emptied++;
    const double startTokens = m_options.startTokens * m_fleet.coordinatorShare();
    if (startTokens <= 0 || now - ledger.startedAt < m_options.startInterval)
        return;
    ledger.startedAt = now;
    ledger.bucket.add(startTokens, now);
}

void QuotaCoordinator::checkPause(TimePoint now)
{
    if (now - m_lastRunAt > m_options.pauseMax)
        handlePause(now);
    m_lastRunAt = now;
}

bool QuotaCoordinator::mayCoordinate(TimePoint now) const
{
    const bool isSettled = now - m_fleetChangedAt >= m_options.settleTime
                           || now - m_startedAt >= m_options.startDelay;
    return isSettled && m_fleet.daemonShare() > 0;
}

/** @return time until a request can get a token, if the demand stays as it is. */
Duration QuotaCoordinator::retryAfter(const Ledger &ledger, TimePoint now) const
{
    const double perSecond = ledger.bucket.perSecond();
    if (perSecond <= 0)
        return m_options.retryAfterMax;
    // Another data centre can have tokens while the fleet's demand is below the quota.
    if (!m_remoteDataCentres.empty() && now >= ledger.noHelpUntil
        && ledger.arrivals.perSecond(now) < ledger.quota.perSecond * HELPED_DEMAND_MAX)
        return m_options.helpTime;
    const double missing = std::max(0.0, 1 - ledger.bucket.tokens(now));
    // Under overload the next token has many takers: those refused within a second come first.
    const double ahead = std::max(0.0, ledger.arrivals.perSecond(now) - perSecond);
    const double ms = std::ceil((missing + ahead) / perSecond * MS_PER_SECOND);
    return {std::min(static_cast<std::int64_t>(std::max(1.0, ms)), m_options.retryAfterMax.ms)};
}

const QuotaGrant *QuotaCoordinator::findAnswer(const ServerId &daemon, const QuotaRequest &request)
{
    const auto found
        = std::find_if(m_answers.begin(), m_answers.end(), [&](const SentAnswer &answer) {
              return answer.grant.id == request.id && answer.daemon == daemon;
          });
    return found == m_answers.end() ? nullptr : &found->grant;
}

QuotaGrant QuotaCoordinator::handleRequest(const ServerId &daemon, const QuotaRequest &request,
                                           TimePoint now)
{
    checkPause(now);
    while (!m_answers.empty() && now - m_answers.front().sentAt >= m_options.answerLifetime)
        m_answers.pop_front();
    const QuotaGrant *answered = request.repeated ? findAnswer(daemon, request) : nullptr;
    if (answered != nullptr)
        return *answered;
    const QuotaGrant grant = decide(request, now);
    if (daemon != m_fleet.self())
        m_answers.push_back({now, daemon, grant});
    return grant;
}

QuotaGrant QuotaCoordinator::decide(const QuotaRequest &request, TimePoint now)
{
    QuotaGrant grant;
    grant.id = request.id;
    grant.tenant = request.tenant;
    const auto found = m_ledgers.find(request.tenant);
    if (found == m_ledgers.end() || !mayCoordinate(now) || !m_fleet.coordinates(request.tenant)) {
        grant.coordinating = false;
        return grant;
    }
    Ledger &ledger = found->second;
    ledger.arrivals.add(request.arrivals, now);
    // The sender did not get the answers, but its part of the quota went into this bucket.
    ledger.bucket.remove(request.fallback, now);
    const double demand = ledger.arrivals.perSecond(now);
    unsigned wanted = request.wanted;
    // Under overload each daemon gets its part, or the first ones would take all tokens.
    if (demand > ledger.bucket.perSecond())
        wanted = static_cast<unsigned>(std::ceil(wanted * ledger.bucket.perSecond() / demand));
    grant.granted = ledger.bucket.take(wanted, now);
    m_counts.granted += grant.granted;
    if (grant.granted < request.wanted) {
        m_counts.denied += request.wanted - grant.granted;
        grant.retryAfter = retryAfter(ledger, now);
        m_short = m_short || needsTokens(ledger, now);
    }
    return grant;
}

bool QuotaCoordinator::needsTokens(const Ledger &ledger, TimePoint now) const
{
    const double tokens = ledger.bucket.tokens(now);
    if (!ledger.coordinated || tokens >= ledger.bucket.depth() * m_options.exchangeBelow)
        return false;
    Duration interval = m_options.exchangeInterval;
    if (now < ledger.noHelpUntil)
        interval = interval * 3;
    else if (tokens < 1 && !ledger.demand.urgent)
        interval = interval / 4;
    return now - ledger.demand.sentAt >= interval;
}

QuotaExchanges QuotaCoordinator::tick(TimePoint now)
{
    checkPause(now);
    QuotaExchanges exchanges;
    if (m_remoteDataCentres.empty() || !mayCoordinate(now))
        return exchanges;
    QuotaExchange demand;
    demand.origin = m_fleet.self();
    demand.originDataCentre = m_dataCentre;
    demand.sequence = m_lastSequence + 1;
    const std::size_t sources = m_remoteDataCentres.size();
    std::vector<std::vector<QuotaTransfer>> transfers(sources);
    for (auto &[tenant, ledger] : m_ledgers) {
        if (!needsTokens(ledger, now))
            continue;
        if (!ledger.demand.answered.empty())
            ledger.demandsInVain = 0;
        else if (ledger.demand.urgent)
            ledger.demandsInVain++;
        // A small demand goes to some data centres only, the next one to others.
        if (ledger.demandsInVain >= 2) {
            ledger.noHelpUntil = now + m_options.noHelpTime;
            ledger.demandsInVain = 0;
        }
        ledger.demand = {demand.sequence, now, {}, ledger.bucket.tokens(now) < 1};
        // More tokens than are missing would be lost here and missing there.
        const auto missing = static_cast<std::size_t>(
            std::ceil(ledger.bucket.depth() - ledger.bucket.tokens(now)));
        const std::size_t asked = std::min(missing, sources);
        for (std::size_t i = 0; i < asked; i++)
            transfers[(demand.sequence + i) % sources].push_back(
                {tenant, static_cast<std::uint32_t>(missing / asked)});
    }
    for (std::size_t i = 0; i < sources; i++) {
        if (transfers[i].empty())
            continue;
        demand.dataCentre = m_remoteDataCentres[i];
        demand.transfers = std::move(transfers[i]);
        exchanges.push_back({ServerId(), demand});
        m_lastSequence = demand.sequence;
    }
    m_short = false;
    return exchanges;
}

QuotaExchanges QuotaCoordinator::handleExchange(const QuotaExchange &exchange, TimePoint now)
{
    checkPause(now);
    if (exchange.dataCentre != m_dataCentre)
        return {};
    if (exchange.recipient.empty() && !exchange.gives)
        return give(exchange, now);
    if (exchange.recipient != m_fleet.self())
        return relay(exchange);
    receive(exchange, now);
    return {};
}

/** Passes tokens on to the daemon that asked for them. */
QuotaExchanges QuotaCoordinator::relay(const QuotaExchange &exchange)
{
    const std::vector<ServerId> &responsive = m_fleet.members().responsive;
    if (exchange.relayed
        || std::find(responsive.begin(), responsive.end(), exchange.recipient) == responsive.end())
        return {};
    QuotaExchange passed = exchange;
    passed.relayed = true;
    return {{passed.recipient, passed}};
}

void QuotaCoordinator::receive(const QuotaExchange &exchange, TimePoint now)
{
    for (const QuotaTransfer &transfer : exchange.transfers) {
        const auto found = m_ledgers.find(transfer.tenant);
        if (found == m_ledgers.end())
            continue;
        Ledger &ledger = found->second;
        // A late answer would bring tokens of an earlier window.
        const bool expected = ledger.coordinated && exchange.sequence == ledger.demand.sequence
                              && now - ledger.demand.sentAt < m_options.exchangeLifetime
                              && ledger.demand.answered.insert(exchange.originDataCentre).second;
        if (!expected) {
            m_counts.late += transfer.tokens;
            continue;
        }
        ledger.bucket.add(transfer.tokens, now);
        m_counts.received += transfer.tokens;
    }
}

/** Gives tokens that this data centre does not need; passes on what others coordinate. */
QuotaExchanges QuotaCoordinator::give(const QuotaExchange &exchange, TimePoint now)
{
    QuotaExchange answer;
    answer.origin = m_fleet.self();
    answer.originDataCentre = m_dataCentre;
    answer.recipient = exchange.origin;
    answer.dataCentre = exchange.originDataCentre;
    answer.sequence = exchange.sequence;
    answer.gives = true;
    std::map<ServerId, QuotaExchange> passedOn;
    for (const QuotaTransfer &transfer : exchange.transfers) {
        const auto found = m_ledgers.find(transfer.tenant);
        if (found == m_ledgers.end())
            continue;
        Ledger &ledger = found->second;
        if (!m_fleet.coordinates(transfer.tenant)) {
            if (exchange.relayed)
                continue;
            QuotaExchange &passed = passedOn[m_fleet.coordinatorOf(transfer.tenant)];
            passed.transfers.push_back(transfer);
            continue;
        }
        const double demand = ledger.arrivals.perSecond(now);
        // A data centre without recent demand keeps nothing: of a small quota it has few tokens.
        const double kept
            = std::max(std::min(ledger.bucket.depth() * m_options.keepShare, demand * 2),
                       demand * static_cast<double>(m_options.keepTime.ms) / MS_PER_SECOND);
        const double spare = mayCoordinate(now) ? ledger.bucket.tokens(now) - kept : 0;
        if (spare < 1)
            continue;
        const unsigned given
            = ledger.bucket.take(std::min(transfer.tokens, static_cast<unsigned>(spare)), now);
        m_counts.given += given;
        if (given > 0)
            answer.transfers.push_back({transfer.tenant, given});
    }
    QuotaExchanges exchanges;
    for (auto &[coordinator, passed] : passedOn) {
        std::vector<QuotaTransfer> transfers = std::move(passed.transfers);
        passed = exchange;
        passed.relayed = true;
        passed.transfers = std::move(transfers);
        exchanges.push_back({coordinator, std::move(passed)});
    }
    if (!answer.transfers.empty())
        exchanges.push_back({ServerId(), std::move(answer)});
    return exchanges;
}

QuotaState QuotaCoordinator::state(const std::string &tenant, TimePoint now)
{
    QuotaState state;
    const auto found = m_ledgers.find(tenant);
    if (found == m_ledgers.end())
        return state;
    const Ledger &ledger = found->second;
    state.quota = ledger.quota;
    state.demand = ledger.arrivals.perSecond(now);
    state.perSecond = ledger.bucket.perSecond();
    state.tokens = ledger.bucket.tokens(now);
    state.coordinated = ledger.coordinated;
    return state;
}

} // namespace cornelwell
