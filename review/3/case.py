"""A server deregisters, all daemons are killed; after that a late report of the server is believed."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from standins import TROUBLE, route, run  # noqa: E402

DRAIN_S = 2.0
STABLE_S = 3.0


async def scenario(world):
    zones = ("seoul-a", "seoul-b", "seoul-c", "seoul-d")
    vms = [world.add_vm(f"vm-{i + 1}", "intake", zone) for i, zone in enumerate(zones)]
    await world.configure(3, [route("book", "/repairs/", "intake", "non_idempotent")], ["intake"])
    for vm in vms:
        vm.start()
    servers = [await world.server(vm, work_ms=400).start() for vm in vms]
    for vm in vms:
        if not await world.until_ready(vm):
            return 2, "a daemon was not ready"
    await asyncio.sleep(4)
    leaving = servers[0]
    # This report is under way from now on; it arrives seconds late.
    leaving.heartbeats.cancel()
    late = leaving.report()
    status = await leaving.notify("DELETE")
    acknowledged = world.record.now()
    world.record(f"server {leaving.id} has deregistered: {status}")
    if status != 200:
        return 2, "the deregistration was not acknowledged"
    if TROUBLE:
        await asyncio.sleep(0.3)
        for vm in vms:
            vm.kill()
        await asyncio.sleep(1)
        for vm in vms:
            vm.start()
    started = world.record.now()
    await asyncio.sleep(max(0.0, acknowledged + 3.0 - world.record.now()))
    status = await leaving.notify("PUT", late)
    world.record(f"a report of server {leaving.id} with sequence {late['sequence']} arrives late: {status}")
    await asyncio.sleep(max(0.0, started + STABLE_S + 0.5 - world.record.now()))
    in_touch = world.record.now()
    world.record("all machines are in touch from here on")
    tasks = []
    for number in range(80):
        vm = vms[number % len(vms)]
        tasks.append(asyncio.ensure_future(world.call(vm, f"/repairs/{number}", "POST", b"a repair")))
        await asyncio.sleep(0.05)
    # The server ends, as it said seconds ago, with what reached it meanwhile.
    running = leaving.running
    leaving.crash()
    results = await asyncio.gather(*tasks)
    bad = [number for at, number, _, _ in leaving.arrivals if at > max(acknowledged + DRAIN_S, in_touch)]
    lost = [number for number, status, _, _ in results if number in bad and status not in (200, 429, 503)]
    text = (f"{len(bad)} of {len(results)} bookings reached the server later than drain-ms after the acknowledgement of its"
            f" DELETE, from machines in touch; {running} ran when the server ended, and of those that had reached it late"
            f" {len(lost)} had begun and got no result")
    if bad:
        first = min(at for at, number, _, _ in leaving.arrivals if number in bad)
        text += f"; the first came {first - acknowledged:.1f} s after the acknowledgement"
    if sum(status == 200 for _, status, _, _ in results) < 40:
        return 2, "too little was served: " + text
    return (1 if bad else 0), text


run(__file__, scenario)
