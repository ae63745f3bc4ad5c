"""Case 7: resets in the middle of answers of the store end, one by one, the daemons' use of it for good."""
import asyncio
import json
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins-2"))
from mesh import TROUBLE, now, reset, route, run  # noqa: E402

RESETS, GAP_S = 60, 0.9  # One connection of one machine of ten at a time.
ACTIVE_S = 2.5           # A machine that the store has answered within this time has a call open.
APPLY_S = 2.5
STABLE_S = 3.0


class StoreLink:
    """The way of one machine to the store."""

    def __init__(self, name, record):
        self.name = name
        self.record = record
        self.armed = False
        self.hits = 0
        self.answered_at = -ACTIVE_S

    async def __call__(self, data, writer, line):
        routes = "/api/objects/config" in line
        if routes:
            self.answered_at = now()
        if not (self.armed and routes):
            writer.write(data)
            await writer.drain()
            return True
        self.armed = False
        place = random.randrange(1, len(data))
        self.record.add(f"reset at {self.name}, after {place} of {len(data)} bytes of an answer")
        writer.write(data[:place])
        await writer.drain()
        await asyncio.sleep(0.02)
        reset(writer)
        return False


async def case(mesh, record):
    mesh.bounds.update({"ack-ms": 5000, "sync-s": 6, "drain-ms": 2500, "apply-ms": 2500, "budget-slack": 174})
    links = []
    for zone in "abcde":
        for service in ("intake", "bench"):
            links.append(StoreLink(f"{service}-{zone}", record))
            daemon = mesh.add(links[-1].name, f"seoul-{zone}", service, await mesh.store.front(links[-1]))
            settings = json.loads(daemon.settings.read_text())
            settings["self"]["limits"].update({"cpu-share": 0.1, "memory-mb": 88, "link-mbps": 5.0})
            daemon.settings.write_text(json.dumps(settings))
    services = ["intake", "bench"]
    mesh.store.configure(5, [route("lookup", "/jobs/", "idempotent", "intake"),
                             route("moved", "/moved/", "idempotent", "intake")], services)
    await mesh.start()
    await mesh.wait_ready()
    await asyncio.sleep(4)
    for _ in range(RESETS):
        active = [link for link in links if now() - link.answered_at < ACTIVE_S]
        if TROUBLE and active:
            link = min(active, key=lambda one: (one.hits, random.random()))
            link.hits += 1
            link.armed = True
        await asyncio.sleep(GAP_S)
    for link in links:
        link.armed = False
    record.add(f"no more resets; by machine: { {link.name: link.hits for link in links} }")
    await asyncio.sleep(STABLE_S + 1)
    acknowledged = mesh.store.configure(9, [route("lookup", "/jobs/", "idempotent", "intake"),
                                            route("moved", "/moved/", "idempotent", "bench")], services)
    breaks = []
    number = 0
    while now() < acknowledged + 15:
        await asyncio.sleep(1)
        for daemon in mesh.daemons:
            number += 1
            sent = now()
            status, _, body = await daemon.request(f"m{number}", "GET", f"/moved/{number}")
            if sent > acknowledged + APPLY_S and status == 200 and body.startswith(b"intake"):
                breaks.append(f"CONFIG: m{number}, sent {sent - acknowledged:.1f} s after the acknowledgement, was run "
                              f"by the service that only the older version allows, at {daemon.name}")
    record.add(f"calls of the store: {mesh.store.calls}")
    return breaks


run(pathlib.Path(__file__).resolve().parent, case)
