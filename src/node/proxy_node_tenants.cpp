/** @file proxy_node_tenants.cpp Keys of callers' requests, and the confirmation of the version that
 * they are checked against. */
#include "node/proxy_node.h"

#include "replication/ping_targets_func.h"

#include <algorithm>

namespace cornelwell {

namespace {

constexpr int UNAUTHORIZED = 401;
constexpr int SERVICE_UNAVAILABLE = 503;
/** Retry-After while the key cannot be checked; a newer version or a confirmation comes soon. */
constexpr Duration CHECK_RETRY_AFTER{300};
/** A daemon without a confirmation is ready after this time, for requests that need no key. */
constexpr Duration FIRST_CONFIRMATION_WAIT{3000};

HostReason reasonOf(CredentialVerdict verdict)
{
    switch (verdict) {
    case CredentialVerdict::UnknownKey:
        return HostReason::UnknownKey;
    case CredentialVerdict::Undecided:
        return HostReason::Undecided;
    default:
        return HostReason::Unconfirmed;
    }
}

} // namespace

bool ProxyNode::hasRevocationBound() const
{
    const RouteTablePtr &table = m_replicator.currentTable();
    return m_settings.revocation.strict && table && table->hasTenants();
}

/** @return true for a short time after the start, while requests with a key would be refused. */
bool ProxyNode::awaitsFirstConfirmation() const
{
    return hasRevocationBound() && m_loop.now() - m_startedAt < FIRST_CONFIRMATION_WAIT
           && !m_confirmation.age(m_loop.clock().bootNow());
}

bool ProxyNode::hasPeerNewerVersion() const
{
    return std::any_of(m_peers.peers().begin(), m_peers.peers().end(), [&](const auto &item) {
        return item.second.linked && item.second.version > m_replicator.version();
    });
}

CredentialFacts ProxyNode::credentialFacts(const RouteTable &table, const HttpRequest &request,
                                           bool isExempt) const
{
    CredentialFacts facts;
    facts.hasTenants = table.hasTenants();
    facts.isExempt = isExempt;
    if (!facts.hasTenants || isExempt)
        return facts;
    facts.tenant = table.tenantOfKey(request.headers.get(m_adapter.callFields().credential));
    facts.newerVersionKnown = facts.tenant == nullptr && hasPeerNewerVersion();
    facts.strict = m_settings.revocation.strict;
    facts.bound = m_settings.revocation.bound;
    if (facts.strict)
        facts.confirmationAge = m_confirmation.age(m_loop.clock().bootNow());
    return facts;
}

void ProxyNode::logCredential(const char *event, const PendingRequest &pending,
                              const HttpRequest &request, CredentialVerdict verdict,
                              const CredentialFacts &facts)
{
    m_log.logRequest(event, true, [&](LogFields &fields) {
        fields.add("request", pending.requestId);
        fields.add("route", pending.route);
        fields.add("verdict", credentialVerdictName(verdict));
        if (facts.tenant != nullptr)
            fields.add("tenant", facts.tenant->name);
        else
            fields.add("key_tag",
                       credentialTag(request.headers.get(m_adapter.callFields().credential)));
        fields.add("version", m_replicator.version());
        if (facts.strict)
            fields.add("confirmed_ms_ago", facts.confirmationAge ? facts.confirmationAge->ms : -1);
    });
}

/**
 * Checks the key of a new request and notes its tenant.
 * @return false when the request was refused; it has been answered then.
 */
bool ProxyNode::admitCredential(PendingRequestId id, PendingRequest &pending,
                                const RouteTable &table, const Route &route,
                                const HttpRequest &request)
{
    // Callers on the VM may share its address with the local server, whose calls carry no key.
    const bool hasKey = !request.headers.get(m_adapter.callFields().credential).empty();
    if (table.hasTenants() && hasKey)
        pending.fromLocalServer = false;
    const CredentialFacts facts
        = credentialFacts(table, request, route.isPublic || pending.fromLocalServer);
    const CredentialVerdict verdict = decideCredential(facts);
    pending.credential = verdict;
    m_credentialVerdicts[static_cast<std::size_t>(verdict)]++;
    switch (verdict) {
    case CredentialVerdict::NoTenants:
        return true;
    case CredentialVerdict::Exempt:
        // Without a tenant the route's priority places the request among those of tenants.
        pending.tenantPriority = route.priority;
        return true;
    case CredentialVerdict::Served:
        pending.tenant = facts.tenant->name;
        pending.tenantPriority = facts.tenant->priority;
        return true;
    default:
        break;
    }
    logCredential("credential_refused", pending, request, verdict, facts);
    if (verdict == CredentialVerdict::UnknownKey)
        sendLocalReply({id, UNAUTHORIZED, reasonOf(verdict), {0}});
    else
        sendLocalReply({id, SERVICE_UNAVAILABLE, reasonOf(verdict), CHECK_RETRY_AFTER});
    return false;
}

/**
 * Checks the key again before a further offer of the request.
 * @return None, or why the request must not be offered again.
 */
HostReason ProxyNode::recheckCredential(const PendingRequest &pending)
{
    const RouteTablePtr &table = m_replicator.currentTable();
    if (pending.credential != CredentialVerdict::Served || !table)
        return HostReason::None;
    const CredentialFacts facts = credentialFacts(*table, pending.request, false);
    CredentialVerdict verdict = decideCredential(facts);
    if (verdict == CredentialVerdict::NoTenants)
        return HostReason::None;
    if (verdict == CredentialVerdict::Served) {
        if (facts.tenant->name == pending.tenant)
            return HostReason::None;
        // The key has moved to another tenant; the caller's retry runs on that one's behalf.
        verdict = CredentialVerdict::Undecided;
    }
    logCredential("credential_lapsed", pending, pending.request, verdict, facts);
    return reasonOf(verdict);
}

/** @return the fields of a caller's request that are not passed on. */
std::vector<std::string> ProxyNode::ownFields(const PendingRequest &pending) const
{
    const CallFields &names = m_adapter.callFields();
    std::vector<std::string> fields = {names.deadline, names.instance, names.caller};
    const RouteTablePtr &table = m_replicator.currentTable();
    if (pending.credential != CredentialVerdict::NoTenants || (table && table->hasTenants())) {
        fields.push_back(names.credential);
        fields.push_back(names.tenant);
    }
    return fields;
}

Duration ProxyNode::watchTimeout(Duration usual) const
{
    if (!hasRevocationBound())
        return usual;
    return std::min(usual, confirmingWatchTimeout(m_confirmation.age(m_loop.clock().bootNow())));
}

void ProxyNode::sendPings()
{
    const LinkPing ping{m_loop.clock().bootNow(), m_replicator.version()};
    m_links.sendRequests(choosePingTargets(m_peers, m_loop.now(), m_pingRandom), ping);
}

void ProxyNode::handlePing(const DaemonRecord &peer, const LinkPing &ping)
{
    const ConfirmationReport report
        = m_confirmation.reportFor(ping.version, m_loop.clock().bootNow());
    m_links.sendAnswer(peer.name, peer.incarnation, LinkPong{ping.sentAt, report});
}

void ProxyNode::handlePong(const LinkPong &pong)
{
    m_confirmation.handleReport(pong.sentAt, pong.report, m_replicator.version(),
                                m_loop.clock().bootNow());
}

/** Asks peers at once when keys cannot be checked, rather than at the next tick. */
void ProxyNode::requestConfirmation()
{
    if (hasRevocationBound() && !m_confirmation.age(m_loop.clock().bootNow()))
        sendPings();
}

/** Renews the confirmation: asks peers, and reads the store when that does not suffice. */
void ProxyNode::tickConfirmation(TimePoint now)
{
    if (!hasRevocationBound()) {
        m_renewal.stop();
        return;
    }
    const std::optional<Duration> age = m_confirmation.age(m_loop.clock().bootNow());
    const bool fresh = age && *age <= confirmationAgeMax(m_settings.revocation.bound);
    if (fresh != m_confirmed) {
        m_confirmed = fresh;
        m_log.logStateChange(fresh ? "version_confirmed" : "version_unconfirmed",
                             [&](LogFields &fields) {
                                 fields.add("version", m_replicator.version());
                                 fields.add("confirmed_ms_ago", age ? age->ms : -1);
                                 fields.add("store_age_ms", m_replicator.storeAge(now).ms);
                                 fields.add("links", std::uint64_t{m_links.linksUp()});
                             });
    }
    const RenewalDue due = m_renewal.tick(age, m_peers, now);
    if (due.pings)
        sendPings();
    if (due.read)
        perform(m_replicator.requestRead(now));
}

void ProxyNode::setTenantMetrics()
{
    const RouteTablePtr &table = m_replicator.currentTable();
    if (!table || !table->hasTenants())
        return;
    for (std::size_t i = 0; i < m_credentialVerdicts.size(); i++) {
        const auto verdict = static_cast<CredentialVerdict>(i);
        m_metrics.count("credential_requests_total",
                        std::string("outcome=\"") + credentialVerdictName(verdict) + "\"",
                        static_cast<double>(m_credentialVerdicts[i]));
        m_credentialVerdicts[i] = 0;
    }
    if (!m_settings.revocation.strict)
        return;
    const std::optional<Duration> age = m_confirmation.age(m_loop.clock().bootNow());
    m_metrics.set("confirmation_age_ms", "", age ? static_cast<double>(age->ms) : -1);
}

} // namespace cornelwell
