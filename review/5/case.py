"""A liveness report of another writer, for a service that nobody named, takes a sound server out of use for good."""
import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from standins import TROUBLE, exchange, route, run  # noqa: E402

RECOVER_S = 15


async def traffic(world, vms, seconds, note):
    """Lookups from all VMs, each repeated once at most. Returns (served, sent)."""
    served = sent = 0

    async def one(vm, number):
        nonlocal served, sent
        sent += 1
        for _ in range(2):
            _, status, fields, _ = await world.call(vm, f"/jobs/{number}", note=note)
            if status == 200:
                served += 1
                return
            await asyncio.sleep(min(0.4, float(fields.get("retry-after", "0.2"))))

    tasks = []
    for step in range(int(seconds * 4)):
        tasks += [asyncio.ensure_future(one(vm, step)) for vm in vms]
        await asyncio.sleep(0.25)
    await asyncio.gather(*tasks)
    return served, sent


async def scenario(world):
    zones = ("seoul-a", "seoul-b", "seoul-c")
    vms = [world.add_vm(f"vm-{i + 1}", "intake", zone) for i, zone in enumerate(zones)]
    await world.configure(3, [route("status", "/jobs/", "intake")], ["intake"])
    for vm in vms:
        vm.start()
    servers = [await world.server(vm, work_ms=100).start() for vm in vms]
    for vm in vms:
        if not await world.until_ready(vm):
            return 2, "a daemon was not ready"
    await asyncio.sleep(3)
    before = await traffic(world, vms, 4, "before the final fault")
    await world.configure(4, [route("status", "/jobs/", "intake", timeout_ms=1400)], ["intake"])
    for vm in vms:
        vm.kill()
    await asyncio.sleep(1)
    for vm in vms:
        vm.start()
    back = world.record.now()
    await asyncio.sleep(4)
    if TROUBLE:
        for vm, server in zip(vms, servers):
            # Whole and well formed, but its service is not named in the configuration nor in the settings.
            report = {"service": "unnamed", "address": f"{vm.ip}:{vm.ports['spare']}", "zone": vm.zone, "version": "v1",
                      "slots": 4, "state": "ready", "warmup-left-ms": 0, "sequence": 1, "born": int(time.time() * 1000)}
            status, _, _ = await exchange(vm.control, "PUT", "/api/instances/i-of-another-writer",
                                          {"Content-Type": "application/json"}, json.dumps(report).encode())
            world.record(f"one report of another writer at {vm.name}: {status}; the server's own sequence is {server.sequence}")
    await asyncio.sleep(max(0.0, back + RECOVER_S + 0.5 - world.record.now()))
    after = await traffic(world, vms, 8, f"{RECOVER_S} s after the machines are back")
    acks = [sum(at > back + 4 for at, _, _ in server.acks) for server in servers]
    text = (f"served before the final fault {before[0]} of {before[1]}, later than {RECOVER_S} s after the machines are back"
            f" {after[0]} of {after[1]} (a quarter is the least); since then the servers' own reports were acknowledged"
            f" {acks} times")
    if before[0] * 4 < before[1]:
        return 2, "no basis: " + text
    return (1 if after[0] * 4 < after[1] else 0), text


run(__file__, scenario)
