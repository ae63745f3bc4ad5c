/** @file quota_client.cpp Local tokens, batches, waiting requests and the fallback bucket. */
#include "quota/quota_client.h"

#include "base/hash_func.h"

#include <algorithm>
#include <cmath>

namespace cornelwell {

namespace {

constexpr double MS_PER_SECOND = 1000;
constexpr Duration DEMAND_SPAN{500};   ///< Time constant of the demand.
constexpr Duration RETRY_AFTER_MIN{5}; ///< Shortest Retry-After, and pause before asking again.
/** Retry-After while the fleet is not known yet. */
constexpr Duration UNKNOWN_FLEET_RETRY_AFTER{500};

double tokensOfTime(double perSecond, Duration time)
{
    return perSecond * static_cast<double>(time.ms) / MS_PER_SECOND;
}

/** @return a number from 0 to 1 that differs between daemons and tenants. */
double phaseOf(const ServerId &daemon, const std::string &tenant)
{
    constexpr unsigned BITS = 32;
    return static_cast<double>(rendezvousWeight(daemon.text(), tenant) >> BITS)
           / static_cast<double>(std::uint64_t{1} << BITS);
}

} // namespace

QuotaActions QuotaClient::setQuotas(const std::vector<TenantQuota> &quotas, TimePoint now)
{
    std::unordered_map<std::string, TenantQuota> limited;
    for (const TenantQuota &quota : quotas) {
        if (quota.perSecond > 0)
            limited.emplace(quota.tenant, quota);
    }
    QuotaActions actions;
    for (auto item = m_accounts.begin(); item != m_accounts.end();) {
        if (limited.count(item->first) != 0) {
            ++item;
            continue;
        }
        for (const Waiting &waiting : item->second.waiting)
            actions.emplace_back(AdmitRequest{waiting.request});
        m_active.erase(item->first);
        item = m_accounts.erase(item);
    }
    for (auto &[tenant, quota] : limited) {
        const auto [position, added]
            = m_accounts.try_emplace(tenant, quota, DEMAND_SPAN, phaseOf(m_fleet.self(), tenant));
        Account &account = position->second;
        if (added || account.quota == quota)
            continue;
        dropLapsed(account, now);
        const double kept = std::min(1.0, quota.perSecond / account.quota.perSecond);
        for (Batch &batch : account.batches)
            batch.tokens = static_cast<unsigned>(batch.tokens * kept);
        account.quota = quota;
        account.refuseUntil = now;
    }
    return actions;
}

void QuotaClient::dropLapsed(Account &account, TimePoint now)
{
    while (!account.batches.empty()
           && (account.batches.front().tokens == 0 || account.batches.front().lapsesAt <= now)) {
        m_counts.lapsed += account.batches.front().tokens;
        account.batches.pop_front();
    }
}

unsigned QuotaClient::tokensOf(const Account &account) const
{
    unsigned sum = 0;
    for (const Batch &batch : account.batches)
        sum += batch.tokens;
    return sum;
}

unsigned QuotaClient::tokens(const std::string &tenant, TimePoint now)
{
    const auto found = m_accounts.find(tenant);
    if (found == m_accounts.end())
        return 0;
    dropLapsed(found->second, now);
    return tokensOf(found->second);
}

double QuotaClient::demand(const std::string &tenant, TimePoint now) const
{
    const auto found = m_accounts.find(tenant);
    return found == m_accounts.end() ? 0 : found->second.demand.perSecond(now);
}

Duration QuotaClient::answerAge(const std::string &tenant, TimePoint now) const
{
    const auto found = m_accounts.find(tenant);
    const bool known = found != m_accounts.end() && found->second.answeredAt;
    return known ? now - *found->second.answeredAt : Duration{-1};
}

bool QuotaClient::takeToken(Account &account, TimePoint now)
{
    dropLapsed(account, now);
    if (account.batches.empty())
        return false;
    account.batches.front().tokens--;
    return true;
}

void QuotaClient::updateActive(const std::string &tenant, const Account &account)
{
    if (account.outstanding || !account.waiting.empty())
        m_active.insert(tenant);
    else
        m_active.erase(tenant);
}

QuotaActions QuotaClient::acquire(const std::string &tenant, std::uint64_t request, TimePoint now)
{
    QuotaActions actions;
    const auto found = m_accounts.find(tenant);
    if (found == m_accounts.end()) {
        actions.emplace_back(AdmitRequest{request});
        return actions;
    }
    Account &account = found->second;
    account.arrivals++;
    account.demand.add(1, now);
    // Requests that wait came first.
    if (account.waiting.empty() && takeToken(account, now)) {
        m_counts.admitted++;
        actions.emplace_back(AdmitRequest{request});
        askAhead(account, actions, now);
    } else if (isSuspect(account, now)) {
        decideByFallback(account, {request, now}, actions, now);
    } else if (now < account.refuseUntil) {
        refuse(account, request, account.retryAt - now, QuotaRefusal::Exhausted, actions);
    } else {
        account.waiting.push_back({request, now});
        if (isFleetKnown() && !account.outstanding && now >= account.askAgainAt)
            ask(account, actions, now);
    }
    updateActive(tenant, account);
    return actions;
}

/** @return true while the tenant's coordinator is known not to answer. */
bool QuotaClient::isSuspect(Account &account, TimePoint now)
{
    return now < account.suspectUntil
           && account.suspect == m_fleet.coordinatorOf(account.quota.tenant);
}

void QuotaClient::ask(Account &account, QuotaActions &actions, TimePoint now)
{
    const double ahead = tokensOfTime(account.demand.perSecond(now), m_options.batchTime);
    // Whole tokens only: what a daemon with little demand kept would be missing elsewhere.
    const auto target = static_cast<unsigned>(ahead);
    const unsigned held = tokensOf(account);
    const auto waiting = static_cast<unsigned>(account.waiting.size());
    const unsigned wanted = waiting + (target > held ? target - held : 0);
    if (wanted == 0)
        return;
    const ServerId coordinator = m_fleet.coordinatorOf(account.quota.tenant);
    QuotaRequest message;
    message.id = ++m_lastId;
    message.tenant = account.quota.tenant;
    message.wanted = wanted;
    message.arrivals = account.arrivals;
    message.fallback = account.fallbackAdmitted;
    account.arrivals = 0;
    account.outstanding = Outstanding{message, coordinator, now, now};
    if (coordinator != m_fleet.self())
        m_counts.requests++;
    actions.emplace_back(SendQuotaRequest{coordinator, std::move(message)});
}

void QuotaClient::askAgain(Account &account, QuotaActions &actions, TimePoint now)
{
    Outstanding &outstanding = *account.outstanding;
    outstanding.lastSentAt = now;
    outstanding.message.repeated = true;
    m_counts.repeats++;
    actions.emplace_back(SendQuotaRequest{outstanding.coordinator, outstanding.message});
}

/** Asks once more, or decides without the coordinator when its time is up. */
void QuotaClient::handleMissingAnswer(Account &account, QuotaActions &actions, TimePoint now)
{
    const Outstanding &outstanding = *account.outstanding;
    if (now - outstanding.sentAt >= m_options.grantTimeout) {
        m_counts.timeouts++;
        suspect(account, ServerId(outstanding.coordinator), m_options.suspicion, actions, now);
    } else if (now - outstanding.lastSentAt >= m_options.resendAfter) {
        askAgain(account, actions, now);
    }
}

void QuotaClient::askAhead(Account &account, QuotaActions &actions, TimePoint now)
{
    if (account.outstanding || now < account.refuseUntil || isSuspect(account, now))
        return;
    const double demand = account.demand.perSecond(now);
    if (tokensOfTime(demand, m_options.batchTime) >= 1
        && tokensOf(account) < tokensOfTime(demand, m_options.askAheadTime))
        ask(account, actions, now);
}

void QuotaClient::refuse(Account &account, std::uint64_t request, Duration retryAfter,
                         QuotaRefusal reason, QuotaActions &actions)
{
    m_counts.refused++;
    const Duration bounded{
        std::clamp(retryAfter.ms, RETRY_AFTER_MIN.ms, m_options.retryAfterMax.ms)};
    actions.emplace_back(RefuseRequest{request, account.quota.tenant, bounded, reason});
}

/** Admits a request by a token of the fallback bucket; without one it waits or is refused. */
void QuotaClient::decideByFallback(Account &account, const Waiting &request, QuotaActions &actions,
                                   TimePoint now)
{
    const double perSecond = account.quota.perSecond * m_fleet.daemonShare();
    if (!account.fallback.isActive())
        account.fallback.enter(now);
    if (perSecond <= 0) {
        refuse(account, request.request, UNKNOWN_FLEET_RETRY_AFTER, QuotaRefusal::Fallback,
               actions);
    } else if (account.fallback.take(perSecond, m_options.fallbackLifetime, now)) {
        m_counts.admitted++;
        m_counts.fallback++;
        account.fallbackAdmitted++;
        actions.emplace_back(AdmitRequest{request.request, true});
    } else if (account.suspectUntil < request.since + m_options.waitMax) {
        // The coordinator is asked again before the wait ends.
        account.waiting.push_back(request);
    } else {
        // The coordinator may answer sooner than the next token comes.
        const Duration untilToken = account.fallback.untilNext(perSecond);
        const Duration untilAsked = account.suspectUntil - now;
        refuse(account, request.request, untilAsked < untilToken ? untilAsked : untilToken,
               QuotaRefusal::Fallback, actions);
    }
}

/** Uses the fallback bucket until the coordinator is asked again, after @p pause. */
void QuotaClient::suspect(Account &account, const ServerId &coordinator, Duration pause,
                          QuotaActions &actions, TimePoint now)
{
    account.outstanding.reset();
    account.suspect = coordinator;
    account.suspectUntil = now + pause;
    account.askAgainAt = account.suspectUntil;
    const std::deque<Waiting> waiting = std::move(account.waiting);
    account.waiting.clear();
    for (const Waiting &request : waiting)
        decideByFallback(account, request, actions, now);
}

/** Refuses the requests whose wait for a list of the daemons has ended. */
void QuotaClient::refuseUnknownFleet(Account &account, QuotaActions &actions, TimePoint now)
{
    while (!account.waiting.empty() && now - account.waiting.front().since >= m_options.waitMax) {
        refuse(account, account.waiting.front().request, UNKNOWN_FLEET_RETRY_AFTER,
               QuotaRefusal::Fallback, actions);
        account.waiting.pop_front();
    }
}

void QuotaClient::serveWaiting(Account &account, QuotaActions &actions, TimePoint now)
{
    while (!account.waiting.empty() && takeToken(account, now)) {
        m_counts.admitted++;
        actions.emplace_back(AdmitRequest{account.waiting.front().request});
        account.waiting.pop_front();
    }
}

/** Refuses the waiting requests that cannot get a token before their wait ends. */
void QuotaClient::refuseWaiting(Account &account, Duration retryAfter, QuotaActions &actions,
                                TimePoint now)
{
    const Duration pause{std::max(retryAfter.ms, RETRY_AFTER_MIN.ms)};
    while (!account.waiting.empty()
           && account.waiting.front().since + m_options.waitMax < now + pause) {
        refuse(account, account.waiting.front().request, pause, QuotaRefusal::Exhausted, actions);
        account.waiting.pop_front();
    }
    account.askAgainAt = now + pause;
    account.retryAt = now + pause;
    if (pause > m_options.waitMax) {
        account.refuseUntil = now + (pause < m_options.refusalHold ? pause : m_options.refusalHold);
        account.askAgainAt = account.refuseUntil;
    }
}

QuotaActions QuotaClient::handleGrant(const QuotaGrant &grant, TimePoint now)
{
    QuotaActions actions;
    const auto found = m_accounts.find(grant.tenant);
    if (found == m_accounts.end() || !found->second.outstanding
        || found->second.outstanding->message.id != grant.id) {
        // The request is decided already, so its tokens must not be used a second time.
        const bool isCopy = found != m_accounts.end() && found->second.answeredId == grant.id;
        m_counts.lapsed += isCopy ? 0 : grant.granted;
        return actions;
    }
    Account &account = found->second;
    const ServerId coordinator = account.outstanding->coordinator;
    const QuotaRequest asked = std::move(account.outstanding->message);
    account.outstanding.reset();
    account.answeredId = grant.id;
    if (!grant.coordinating) {
        suspect(account, coordinator, m_options.notReadyPause, actions, now);
        updateActive(grant.tenant, account);
        return actions;
    }
    account.answeredAt = now;
    account.fallback.leave();
    account.fallbackAdmitted -= asked.fallback;
    account.suspectUntil = now;
    const unsigned granted = std::min(grant.granted, asked.wanted);
    if (granted > 0)
        account.batches.push_back({now + m_options.tokenLifetime, granted});
    serveWaiting(account, actions, now);
    if (granted < asked.wanted) {
        if (!account.waiting.empty() || grant.retryAfter > m_options.waitMax)
            refuseWaiting(account, grant.retryAfter, actions, now);
    } else if (!account.waiting.empty()) {
        ask(account, actions, now);
    }
    updateActive(grant.tenant, account);
    return actions;
}

void QuotaClient::cancel(const std::string &tenant, std::uint64_t request)
{
    const auto found = m_accounts.find(tenant);
    if (found == m_accounts.end())
        return;
    std::deque<Waiting> &waiting = found->second.waiting;
    waiting.erase(std::remove_if(waiting.begin(), waiting.end(),
                                 [&](const Waiting &one) { return one.request == request; }),
                  waiting.end());
    updateActive(tenant, found->second);
}

void QuotaClient::giveBack(const std::string &tenant, TimePoint now)
{
    const auto found = m_accounts.find(tenant);
    if (found == m_accounts.end())
        return;
    dropLapsed(found->second, now);
    found->second.batches.push_back({now + m_options.tokenLifetime, 1});
}

QuotaActions QuotaClient::tick(TimePoint now)
{
    QuotaActions actions;
    const std::set<std::string> active = m_active;
    for (const std::string &tenant : active) {
        Account &account = m_accounts.at(tenant);
        if (account.outstanding)
            handleMissingAnswer(account, actions, now);
        serveWaiting(account, actions, now);
        if (!isFleetKnown())
            refuseUnknownFleet(account, actions, now);
        // Requests whose wait has ended are refused after one more answer.
        else if (!account.waiting.empty() && !account.outstanding && now >= account.askAgainAt)
            ask(account, actions, now);
        updateActive(tenant, account);
    }
    return actions;
}

} // namespace cornelwell
