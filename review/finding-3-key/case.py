"""A version takes a key away and changes another tenant's quota. Does a request with that key run revoke-ms later?"""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins-3"))
import bed as b  # noqa: E402

HOST = "till.example"
REVOKE_MS = 5000


def tenants(keys, per_second):
    return {"tenants": [{"name": "nursery", "api-keys": keys, "priority": 1, "per-s": 100, "burst": 100},
                        {"name": "museum", "api-keys": ["key-museum"], "priority": 1, "per-s": per_second,
                         "burst": 10}]}


async def ask(bed, vm, key, number):
    """One request of a consumer. Returns its id, when it was sent, and the status."""
    request_id = f"{key}-{vm.name}-{number}"
    reader, writer = await asyncio.open_connection(vm.ip, vm.ports["outbound"], limit=1 << 20)
    try:
        sent = time.monotonic()
        bed.record.write(f"sent {request_id} to {vm.name}")
        writer.write(b.request_bytes("GET", f"/stock/{number}", HOST, request_id, 5000,
                                     more=[("Cornelwell-Credential", key)]))
        answer = await asyncio.wait_for(b.read_answer(reader), 6)
        bed.record.write(f"answer {request_id}: {answer.status} {answer.body[:80]!r}")
        return request_id, sent, answer.status
    finally:
        writer.close()


async def case(bed, trouble):
    for number, zone in enumerate(("perth-north", "perth-south", "perth-hills"), 1):
        vm = bed.add_vm(f"sidecar-{zone}-{number}", "counter", zone)
        vm.bounds = dict(vm.bounds, **{"strict-revoke": True, "revoke-ms": REVOKE_MS, "apply-ms": 2500,
                                       "quota-window-s": 5, "quota-excess": 0.1, "quota-slack": 20})
        vm.contracts = vm.contracts + ["tenants", "quota"]
        bed.servers.append(b.Server(bed, vm, f"i-{vm.name}"))
    routes = [{"name": "stock", "host": HOST, "path-prefix": "/stock/", "kind": "idempotent", "timeout-ms": 5000,
               "goal-ms": 500, "priority": 1, "service": "counter", "max-attempts": 2, "public": False}]
    bed.configure(1, routes, ["counter"], more=tenants(["key-kept", "key-lost"], 10))
    await bed.start()
    first = [await ask(bed, vm, "key-lost", 0) for vm in bed.vms]
    if any(status != 200 for _, _, status in first):
        raise b.CannotRun(f"the key was not served before: {first}")
    bed.configure(2, routes, ["counter"], more=tenants(["key-kept"], 0.5 if trouble else 1))
    acknowledged = time.monotonic()
    answers = []
    for number in range(1, 41):
        answers += [await ask(bed, vm, "key-lost", number) for vm in bed.vms]
        await asyncio.sleep(0.4)
    ran = {request_id for server in bed.servers for _, request_id, _, _, _ in server.runs}
    late = [(request_id, sent - acknowledged) for request_id, sent, _ in answers
            if sent - acknowledged > REVOKE_MS / 1000 and request_id in ran]
    kept = [(await ask(bed, vm, "key-kept", 99))[2] for vm in bed.vms]
    bed.record.say(f"{len(answers)} requests with the key that was taken away; {len(late)} ran that were sent later than "
                   f"{REVOKE_MS} ms after the acknowledgement; the last was sent "
                   f"{max([after for _, after in late], default=0):.1f} s after it; the other key: {kept}")
    return not late


b.main(case, pathlib.Path(__file__).resolve().parent)
