/** @file quota_client.h Tokens of tenants at the daemon where requests arrive. */
#pragma once

#include "quota/quota_fleet.h"
#include "quota/quota_type.h"
#include "quota/token_bucket.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace cornelwell {

/** Counts for metrics, since the start. */
struct QuotaClientCounts
{
    std::uint64_t admitted = 0; ///< Requests that got a token.
    std::uint64_t fallback = 0; ///< Those of them whose token is of the fallback bucket.
    std::uint64_t refused = 0;  ///< Requests that got none.
    std::uint64_t lapsed = 0;   ///< Tokens that were not used in time, or came too late.
    std::uint64_t requests = 0; ///< Messages to coordinators, without those to this daemon itself.
    std::uint64_t repeats = 0;  ///< Messages that were sent again.
    std::uint64_t timeouts = 0; ///< Messages without an answer in time.
};

/**
 * Admits requests by tokens. It asks the tenant's coordinator for a batch ahead of need, lets
 * requests wait a short time for the answer, and uses a fallback bucket without one. Does no input
 * or output.
 */
class QuotaClient
{
public:
    /** @param fleet The daemons; outlives the client. @param options Time limits and sizes. */
    QuotaClient(QuotaFleet &fleet, QuotaOptions options) : m_fleet(fleet), m_options(options) {}

    /**
     * Sets the quotas in force. Tokens above a lowered quota are dropped.
     * @return admissions of requests that waited and need no token any more.
     */
    QuotaActions setQuotas(const std::vector<TenantQuota> &quotas, TimePoint now);
    /** @return true when requests of the tenant need a token. */
    bool isLimited(const std::string &tenant) const { return m_accounts.count(tenant) != 0; }
    /** Asks for a token for a request. @return actions, maybe with its admission or refusal. */
    QuotaActions acquire(const std::string &tenant, std::uint64_t request, TimePoint now);
    /** Handles the answer of a coordinator. */
    QuotaActions handleGrant(const QuotaGrant &grant, TimePoint now);
    /** Forgets a waiting request: its caller left or its deadline passed. */
    void cancel(const std::string &tenant, std::uint64_t request);
    /** Gives back the token of a request that did not run. */
    void giveBack(const std::string &tenant, TimePoint now);
    /** Ends waits that took too long and asks again; call it every few ms while isWaiting(). */
    QuotaActions tick(TimePoint now);
    /** @return true while an answer or a request is waited for. */
    bool isWaiting() const { return !m_active.empty(); }
    /** @return requests a second that arrive here for a tenant. */
    double demand(const std::string &tenant, TimePoint now) const;
    /** @return time since the last answer of the tenant's coordinator; below 0: there was none. */
    Duration answerAge(const std::string &tenant, TimePoint now) const;
    /** @return unused tokens of a tenant. */
    unsigned tokens(const std::string &tenant, TimePoint now);
    /** @return counts for metrics. */
    const QuotaClientCounts &counts() const { return m_counts; }

private:
    /** Tokens that lapse at one time. */
    struct Batch
    {
        TimePoint lapsesAt{0};
        unsigned tokens = 0;
    };
    /** A request without a token. */
    struct Waiting
    {
        std::uint64_t request = 0;
        TimePoint since{0};
    };
    /** A message that was sent to a coordinator. */
    struct Outstanding
    {
        QuotaRequest message;
        ServerId coordinator;
        TimePoint sentAt{0};     ///< For the first time.
        TimePoint lastSentAt{0}; ///< For the last time.
    };
    /** State of one tenant. */
    struct Account
    {
        Account(TenantQuota q, Duration span, double phase)
            : quota(std::move(q)), demand(span), fallback(phase)
        {}

        TenantQuota quota;
        RateEstimate demand;
        std::uint32_t arrivals = 0; ///< Since the last message to the coordinator.
        std::deque<Batch> batches;
        std::deque<Waiting> waiting;
        std::optional<Outstanding> outstanding;
        std::uint64_t answeredId = 0; ///< Of the last message that was answered.
        TimePoint askAgainAt{0};      ///< Time of the next message for waiting requests.
        TimePoint refuseUntil{0};
        TimePoint retryAt{0}; ///< Time that the coordinator named with its last refusal.
        FallbackBucket fallback;
        std::uint32_t fallbackAdmitted = 0; ///< Not yet reported in a message that was answered.
        ServerId suspect;                   ///< Coordinator that did not answer.
        TimePoint suspectUntil{0};
        std::optional<TimePoint> answeredAt; ///< Last answer of the coordinator.
    };

    void dropLapsed(Account &account, TimePoint now);
    unsigned tokensOf(const Account &account) const;
    bool takeToken(Account &account, TimePoint now);
    void ask(Account &account, QuotaActions &actions, TimePoint now);
    void askAgain(Account &account, QuotaActions &actions, TimePoint now);
    void handleMissingAnswer(Account &account, QuotaActions &actions, TimePoint now);
    void askAhead(Account &account, QuotaActions &actions, TimePoint now);
    bool isSuspect(Account &account, TimePoint now);
    /** @return true when this daemon knows the part of a quota that it stands for. */
    bool isFleetKnown() const { return m_fleet.daemonShare() > 0; }
    void suspect(Account &account, const ServerId &coordinator, Duration pause,
                 QuotaActions &actions, TimePoint now);
    void decideByFallback(Account &account, const Waiting &request, QuotaActions &actions,
                          TimePoint now);
    void serveWaiting(Account &account, QuotaActions &actions, TimePoint now);
    void refuseWaiting(Account &account, Duration retryAfter, QuotaActions &actions, TimePoint now);
    void refuseUnknownFleet(Account &account, QuotaActions &actions, TimePoint now);
    void refuse(Account &account, std::uint64_t request, Duration retryAfter, QuotaRefusal reason,
                QuotaActions &actions);
    void updateActive(const std::string &tenant, const Account &account);

    QuotaFleet &m_fleet;
    const QuotaOptions m_options;
    std::unordered_map<std::string, Account> m_accounts;
    std::set<std::string> m_active; ///< Tenants with a message or a request that waits.
    std::uint64_t m_lastId = 0;
    QuotaClientCounts m_counts;
};

} // namespace cornelwell
