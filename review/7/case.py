"""Case 7: a reset in the middle of an answer of the store ends a daemon's use of the store for good."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins-2"))
from mesh import TROUBLE, now, reset, route, run  # noqa: E402

OUTAGE_S = 4.5  # platform_down in the site file: 4.5 s and more.
CUT_BYTES = 40  # Bytes of an answer that arrive before the reset.
APPLY_S = 2.0
STABLE_S = 3.0


async def reset_midway(data, writer, _line):
    writer.write(data[:CUT_BYTES])
    await writer.drain()
    await asyncio.sleep(0.02)
    reset(writer)
    return False


async def case(mesh, record):
    mesh.add("desk-1", "thies-nord", "order-desk")
    mesh.add("registry-1", "thies-nord", "trace-registry")
    mesh.add("desk-2", "thies-centre", "order-desk")
    mesh.add("registry-2", "thies-centre", "trace-registry")
    services = ["order-desk", "trace-registry"]
    mesh.store.configure(5, [route("lookup", "/lots/", "idempotent", "order-desk"),
                             route("moved", "/moved/", "idempotent", "order-desk")], services)
    await mesh.start()
    await mesh.wait_ready()
    await asyncio.sleep(4)
    if TROUBLE:
        record.add(f"for {OUTAGE_S} s the store's connections are reset while it answers")
        mesh.store.link = reset_midway
        await asyncio.sleep(OUTAGE_S)
        mesh.store.link = None
        record.add("the store and its connections are sound again")
    await asyncio.sleep(STABLE_S + 1)
    acknowledged = mesh.store.configure(9, [route("lookup", "/lots/", "idempotent", "order-desk"),
                                            route("moved", "/moved/", "idempotent", "trace-registry")], services)
    breaks = []
    number = 0
    while now() < acknowledged + 20:
        await asyncio.sleep(1)
        for daemon in mesh.daemons:
            number += 1
            sent = now()
            status, _, body = await daemon.request(f"m{number}", "GET", f"/moved/{number}")
            if sent > acknowledged + APPLY_S and status == 200 and body.startswith(b"order-desk"):
                breaks.append(f"CONFIG: m{number}, sent {sent - acknowledged:.1f} s after the acknowledgement, was run "
                              f"by the service that only the older version allows, at {daemon.name}")
    record.add(f"calls of the store: {mesh.store.calls}")
    return breaks


run(pathlib.Path(__file__).resolve().parent, case)
