"""Machines were added and removed for some time; then all daemons are killed at once. Are requests served again?"""
import asyncio
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins-3"))
import bed as b  # noqa: E402

HOST = "orders.example"
ROUNDS = 4  # times that machines are added and removed again
ADDED = 40  # machines that each round adds to each service
RECOVER_S = 15
DOWN_S = 1.5
SERVICES = [("order-desk", "thies-nord"), ("trace-registry", "thies-centre")]


def route(name, service):
    return {"name": name, "host": HOST, "path-prefix": f"/{name}/", "kind": "idempotent", "timeout-ms": 1500,
            "goal-ms": 500, "priority": 2, "service": service, "max-attempts": 2}


async def ask(bed, vm, name, number):
    """One request of a consumer on a connection of its own. Returns the status; 0 without a whole answer."""
    request_id = f"{vm.name}-{number}"
    try:
        reader, writer = await asyncio.open_connection(vm.ip, vm.ports["outbound"], limit=1 << 20)
    except OSError:
        return 0
    try:
        writer.write(b.request_bytes("GET", f"/{name}/{number}", HOST, request_id, 1500))
        answer = await asyncio.wait_for(b.read_answer(reader), 2.0)
        bed.record.write(f"{request_id} to {name}: {answer.status} {answer.end} {answer.body[:80]!r}")
        return answer.status if answer.whole else 0
    except asyncio.TimeoutError:
        return 0
    finally:
        writer.close()


async def share_served(bed, live, counter, duration):
    """Requests on each machine for the service of the other zone, 20 a second in all; the share that is served."""
    results = []
    pending = []
    end = time.monotonic() + duration
    while time.monotonic() < end:
        for vm in live:
            counter[0] += 1
            name = "certs" if vm.service == "order-desk" else "lots"

            async def one(vm=vm, name=name, number=counter[0]):
                results.append((vm.name, await ask(bed, vm, name, number)))
            pending.append(bed.spawn(one()))
        await asyncio.sleep(0.2)
    await asyncio.gather(*pending)
    by_machine = {}
    for name, status in results:
        by_machine.setdefault(name, {}).setdefault(status, 0)
        by_machine[name][status] += 1
    bed.record.say(f"  answers by machine and status: {by_machine}")
    return sum(status == 200 for _, status in results) / len(results)


async def add_and_remove(bed, number):
    """Machines with their servers are added; their servers drain and leave; the machines are removed in order."""
    added = []
    for service, zone in SERVICES:
        for _ in range(ADDED):
            vm = b.Vm(bed, f"sidecar-{zone}-{bed.next_number}", service, zone,
                      bed.net.rsplit(".", 1)[0] + f".{201 + bed.next_number // 200}.{1 + bed.next_number % 200}")
            bed.next_number += 1
            added.append((vm, b.Server(bed, vm, f"i-{vm.name}")))
    bed.extra += [vm for vm, _ in added]
    await asyncio.gather(*(vm.start() for vm, _ in added))
    for _, server in added:
        await server.start()
    end = time.monotonic() + 15
    while not all(vm.name in bed.store.objects.get("cornelwell-daemons", {}) for vm, _ in added):
        if time.monotonic() > end:
            raise b.CannotRun("the added daemons did not announce themselves")
        await asyncio.sleep(0.1)
    await asyncio.sleep(1.5)
    for _, server in added:
        server.beats.cancel()
        server.state = "draining"
    acks = await asyncio.gather(*(server.report() for _, server in added))
    await asyncio.sleep(2)
    await asyncio.gather(*(server.report("DELETE") for _, server in added))
    for _, server in added:
        server.server.close()
    for vm, _ in added:
        vm.signal(signal.SIGTERM)
    await asyncio.sleep(0.1)
    try:
        await asyncio.wait_for(asyncio.gather(*(vm.process.wait() for vm, _ in added)), 6)
    except asyncio.TimeoutError:
        for vm, _ in added:
            if vm.alive():
                vm.signal(signal.SIGKILL)
                await vm.process.wait()
    bed.record.say(f"round {number}: {len(added)} machines were added and removed, {acks.count(200)} departures were "
                   f"acknowledged")


async def run(bed, trouble):
    live = []
    for service, zone in SERVICES:
        for _ in range(3):
            bed.next_number += 1
            vm = b.Vm(bed, f"sidecar-{zone}-{bed.next_number}", service, zone, f"{bed.net}.{bed.next_number}")
            bed.vms.append(vm)
            live.append(vm)
            bed.servers.append(b.Server(bed, vm, f"i-{vm.name}"))
    bed.configure(1, [route("lots", "order-desk"), route("certs", "trace-registry")],
                  [service for service, _ in SERVICES])
    await bed.start()
    counter = [0]
    for number in range(1, ROUNDS + 1):
        if trouble:
            await add_and_remove(bed, number)
    await asyncio.sleep(3.5)
    before = await share_served(bed, live, counter, 3)
    bed.record.say(f"before the final fault: {before:.3f} served")
    bed.configure(2, [route("lots", "order-desk"), route("certs", "trace-registry")],
                  [service for service, _ in SERVICES])
    for vm in live:
        vm.signal(signal.SIGKILL)
    await asyncio.gather(*(vm.process.wait() for vm in live))
    await asyncio.sleep(DOWN_S)
    for vm in live:
        await vm.start()
    back = time.monotonic()
    while not all([await vm.ready() for vm in live]):
        if time.monotonic() > back + RECOVER_S:
            break
        await asyncio.sleep(0.2)
    bed.record.write(f"ready again: {[await vm.ready() for vm in live]}")
    await asyncio.sleep(max(0, back + RECOVER_S + 0.5 - time.monotonic()))
    after = await share_served(bed, live, counter, 6)
    entries = len(bed.store.objects.get("cornelwell-daemons", {}))
    bed.record.say(f"later than {RECOVER_S} s after the machines are back: {after:.3f} served; the store holds "
                   f"{entries} objects of daemons, of which {len(live)} live")
    if before < 0.25:
        raise b.CannotRun("less than a quarter was served before the final fault")
    return after >= 0.25


async def case(bed, trouble):
    bed.next_number = 0
    bed.extra = []
    try:
        return await run(bed, trouble)
    finally:
        for vm in bed.extra:
            if vm.alive():
                vm.process.kill()
                await vm.process.wait()


b.main(case, pathlib.Path(__file__).resolve().parent)
