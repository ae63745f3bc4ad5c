/** @file call_receiver.h Takes calls for the backend server on this VM: admission, keys, dispatch.
 */
#pragma once

#include "base/clock.h"
#include "delivery/claim_func.h"
#include "delivery/key_ledger.h"
#include "http/http_client.h"
#include "limits/limit_window.h"
#include "proxy/admission_gate.h"
#include "proxy/call_registry.h"
#include "proxy/call_type.h"
#include "settings/settings_type.h"
#include "store/object_store.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>

namespace cornelwell {

/** Who the receiver is to others. */
struct ReceiverIdentity
{
    ServerId server;                           ///< Name of the server.
    std::atomic<std::uint64_t> incarnation{0}; ///< Incarnation of this daemon.
    Endpoint relay;                            ///< Where other daemons send calls.
};

/** Runs calls on the backend server. Safe for threads. */
class CallReceiver
{
public:
    /**
     * @param backend The backend server.
     * @param bodyBytesMax Longest answer.
     * @param identity Who this is; must outlive the receiver.
     * @param registry Calls in progress; must outlive the receiver.
     * @param store The platform, for claims; must outlive the receiver.
     * @param clock Time.
     */
    CallReceiver(const BackendSettings &backend, std::size_t bodyBytesMax,
                 const ReceiverIdentity &identity, CallRegistry &registry, ObjectStore &store,
                 const Clock &clock);

    /** Runs a call, or says why not. Waits for its answer. */
    CallResult run(const OutgoingCall &call);

    /** Refuses new calls from now on. */
    void refuseNewCalls() { m_refusing = true; }

    /** Sets who is told of a request that crashed the backend server. */
    void setCrashListener(std::function<void(std::uint64_t, const EntryName &)> listener)
    {
        m_crashed = std::move(listener);
    }

    /** Says whether the backend server answers its probes. */
    void setBackendUp(bool up) { m_backendUp = up; }

    /** @return requests running and waiting. */
    LoadReport load() const;

    /** @return true when the backend server answered its last probe. */
    bool backendUp() const { return m_backendUp; }

    /** @return true while a call is under way. */
    bool busy() const { return m_underWay > 0; }

private:
    CallResult runOnce(const OutgoingCall &call);
    CallResult runKeyed(const OutgoingCall &call);
    CallResult repeat(const KeyRecord &record) const;
    CallResult claimAndDispatch(const OutgoingCall &call, const RequestKey &key, bool claimed);
    CallResult claimedElsewhere(const ClaimResult &claim, const RequestKey &key);
    ClaimResult renewClaim(const std::string &object, const Claim &wanted, ObjectVersion version);
    CallResult refuseKeyed(const RequestKey &key, bool claimed, CallResult refusal);
    CallResult readiness() const;
    LimitAnswer startWithinLimit(const Entry &entry);
    void finishWithinLimit(const Entry &entry);
    CallResult afterDispatch(const OutgoingCall &call, const RequestKey &key, CallResult result,
                             ObjectVersion claimVersion);
    CallResult dispatch(const OutgoingCall &call, TimePoint deadline, int callerSocket);
    void tellOfCrash(const OutgoingCall &call);
    void finish(const std::string &key, KeyState state, const HttpResponse &answer);

    const BackendSettings m_backend;
    const std::size_t m_bodyBytesMax;
    const ReceiverIdentity &m_identity;
    CallRegistry &m_registry;
    ObjectStore &m_store;
    const Clock &m_clock;
    HttpClient m_client;
    AdmissionGate m_gate;
    std::mutex m_limitsMutex;
    std::map<EntryName, LimitWindow> m_limits;
    std::mutex m_ledgerMutex;
    KeyLedger m_ledger;
    std::atomic<std::uint64_t> m_nextToken{1};
    std::function<void(std::uint64_t, const EntryName &)> m_crashed;
    std::atomic<bool> m_refusing{false};
    std::atomic<bool> m_backendUp{false};
    std::atomic<std::uint32_t> m_underWay{0};
};

} // namespace cornelwell
