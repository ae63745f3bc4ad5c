"""Quota: a daemon that is being stopped hands out a tenant's quota beside the daemon that has taken over."""
import asyncio
import json
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins-2"))
from mesh import TROUBLE, now, read_message, route, run  # noqa: E402

PER_S, BURST = 100, 10
WINDOW_S, EXCESS, SLACK = 5.0, 0.1, 20
USUAL_PER_S = PER_S / 1.6   # The quota is 1.6 times what the tenant usually sends (quota_x of the site).
HOT = 7.5                   # hot_tenant: at most 7.5 times the usual, for 6.5 s.
HOT_S = 6.0
CALM_S = 8.0
CONNECTIONS = 24            # Of the tenant's consumers on each machine.
GRACE_S = 6.0
KEY = "ftimaj3nr26tta828m82"


class Consumers:
    """The tenant's consumers on one machine. They stop while the platform finds the daemon not ready."""

    def __init__(self, mesh, daemon, state):
        self.mesh = mesh
        self.daemon = daemon
        self.state = state
        self.misses = 0
        self.counts = {}

    async def poll_ready(self):
        while True:
            self.misses = 0 if await self.daemon.ready() else self.misses + 1
            await asyncio.sleep(1.0)

    def gets_work(self):
        """Two misses take a machine out, unless fewer than half of the zone's daemons are in."""
        inside = sum(one.misses < 2 for one in self.state["consumers"])
        return self.misses < 2 or inside * 2 < len(self.state["consumers"])

    async def connection(self, number):
        await asyncio.sleep(0.05 * number)
        writer = None
        while True:
            pause = CONNECTIONS * len(self.mesh.daemons) / self.state["per_s"]
            due = now() + pause
            if self.gets_work():
                try:
                    if writer is None:
                        reader, writer = await asyncio.wait_for(
                            asyncio.open_connection(self.daemon.ip, self.daemon.outbound_port), 1.0)
                    self.state["number"] += 1
                    identity = f"t{self.state['number']}"
                    self.state["sent"][identity] = now()
                    writer.write(f"GET /stock/{identity} HTTP/1.1\r\nHost: desk.example\r\nCornelwell-Try-Id: {identity}"
                                 f"\r\nCornelwell-Deadline-Ms: 3000\r\nCornelwell-Credential: {KEY}\r\n\r\n".encode())
                    message = await asyncio.wait_for(read_message(reader), 4.0)
                    status = 0 if message is None else int(message[0].split(" ")[1])
                    if message is None or message[1].get("connection") == "close":
                        writer.close()
                        writer = None
                except (OSError, asyncio.TimeoutError):
                    status, writer = 0, None
                self.counts[status] = self.counts.get(status, 0) + 1
            await asyncio.sleep(max(0.0, due - now()))


def most_in_window(runs):
    """The most runs of which all were sent and ran within one window: (number, its start)."""
    best = (0, 0.0)
    for begin in sorted(sent for _, sent in runs):
        count = sum(1 for ran, sent in runs if sent >= begin and ran <= begin + WINDOW_S)
        best = max(best, (count, begin))
    return best


async def case(mesh, record):
    mesh.bounds.update({"ack-ms": 5000, "sync-s": 6, "drain-ms": 2500, "apply-ms": 2500, "budget-slack": 188,
                        "strict-revoke": True, "revoke-ms": 5000, "quota-window-s": 5, "quota-excess": 0.1,
                        "quota-slack": 20})
    for number in range(1, 4):
        mesh.add(f"sidecar-perth-north-{number}", "perth-north", "counter", slots=13, work_ms=5)
    mesh.store.configure(5, [route("stock", "/stock/", "idempotent", "counter", timeout_ms=1500, public=False)], ["counter"])
    spec = json.loads(json.dumps(mesh.store.objects["config"]["main"]["spec"]))
    spec["tenants"] = [{"name": "huka270", "api-keys": [KEY], "priority": 1, "per-s": PER_S, "burst": BURST}]
    mesh.store.put("config", "main", {"spec": spec})
    await mesh.start()
    await mesh.wait_ready()
    state = {"per_s": USUAL_PER_S, "number": 0, "sent": {}}
    consumers = [Consumers(mesh, daemon, state) for daemon in mesh.daemons]
    state["consumers"] = consumers
    tasks = [asyncio.create_task(one.poll_ready()) for one in consumers]
    tasks += [asyncio.create_task(one.connection(number)) for one in consumers for number in range(CONNECTIONS)]
    await asyncio.sleep(4)

    async def stop_and_start(daemon):
        record.add(f"SIGTERM to {daemon.name}")
        daemon.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(daemon.process.wait(), GRACE_S)
        except asyncio.TimeoutError:
            daemon.signal(signal.SIGKILL)
            await daemon.process.wait()
        record.add(f"{daemon.name} has ended with {daemon.process.returncode} and starts again")
        await daemon.start()

    for first in range(3):
        state["per_s"] = HOT * USUAL_PER_S
        record.add(f"the tenant sends {state['per_s']:.0f} a second")
        hot_until = now() + HOT_S
        await asyncio.sleep(1)
        if TROUBLE:
            await asyncio.gather(*(stop_and_start(mesh.daemons[(first + step) % 3]) for step in range(2)))
        await asyncio.sleep(max(0.0, hot_until - now()))
        state["per_s"] = USUAL_PER_S
        record.add(f"the tenant sends {state['per_s']:.0f} a second")
        await asyncio.sleep(CALM_S)
    for task in tasks:
        task.cancel()
    await asyncio.sleep(1)
    counts = {}
    for one in consumers:
        for status, count in one.counts.items():
            counts[status] = counts.get(status, 0) + count
    record.add(f"answers by status: {counts}")
    runs = [(ran, state["sent"][identity]) for server in mesh.servers for ran, identity, _, _ in server.runs]
    most, begin = most_in_window(runs)
    limit = (PER_S * WINDOW_S + BURST) * (1 + EXCESS) + SLACK
    text = f"{most} requests were sent and run within {WINDOW_S:.0f} s from {begin:.3f} s; at most {limit:.0f} are allowed"
    record.add(text)
    print(text)
    return [f"QUOTA: {text}"] if most > limit else []


run(pathlib.Path(__file__).resolve().parent, case)
