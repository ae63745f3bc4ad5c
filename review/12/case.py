"""A server leaves and is acknowledged; all daemons are killed, and the store turns one of them away for some seconds."""
import asyncio
import json
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins-3"))
import bed as b  # noqa: E402

HOST = "orders.example"
DRAIN_S = 2.0  # drain-ms
TOUCH_S = 3.0  # stable-window-ms
DOWN_S = 1.0  # daemons are down
TURNED_AWAY_S = 8.5
LATE_S = 4.0  # the report arrives so long after it was sent
SERVES_ON_S = 8.5  # drain-ms "and a little longer (at times many seconds)"


class Way:
    """A machine's own way to the store: the store answers it 503 while it turns the machine away."""

    def __init__(self, bed, vm):
        self.bed, self.vm, self.away = bed, vm, False
        self.address = None

    async def start(self):
        server = await asyncio.start_server(self.serve, self.bed.net + ".251", 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        ip, port = self.bed.store.address.split(":")
        far_reader, far_writer = await asyncio.open_connection(ip, int(port))

        async def back():
            try:
                while data := await far_reader.read(65536):
                    if self.away:
                        break
                    writer.write(data)
            except (ConnectionError, asyncio.CancelledError):
                pass
            writer.close()

        task = self.bed.spawn(back())
        try:
            while head := await b.read_head(reader):
                body = await b.read_body(reader, head[1])
                if self.away:
                    writer.write(b.head_bytes(503, [("Content-Type", "application/json")], 2) + b"{}")
                    continue
                fields = [f"{name}: {value}" for name, value in head[1].items()]
                far_writer.write(("\r\n".join([head[0]] + fields) + "\r\n\r\n").encode() + body)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            task.cancel()
            far_writer.close()
            writer.close()


async def ask(bed, vm, number, answers):
    """One booking of a consumer on the machine, on a connection of its own."""
    request_id = f"{vm.name}-{number}"
    sent = time.monotonic()
    status = 0
    bed.record.write(f"sent {request_id} to {vm.name}")
    try:
        reader, writer = await asyncio.open_connection(vm.ip, vm.ports["outbound"], limit=1 << 20)
        try:
            writer.write(b.request_bytes("POST", f"/commits/{number}", HOST, request_id, 1500, b"lot"))
            answer = await asyncio.wait_for(b.read_answer(reader), 2.5)
            status = answer.status if answer.whole else 0
        finally:
            writer.transport.abort()
    except (OSError, asyncio.TimeoutError):
        pass
    bed.record.write(f"answer {request_id}: {status}")
    answers[request_id] = (sent, vm, status)


async def late_report(bed, server, message):
    """Delivers a report that the server sent before it left."""
    await asyncio.sleep(LATE_S)
    body = json.dumps(message).encode()
    end = time.monotonic() + 1
    while time.monotonic() < end:
        try:
            reader, writer = await asyncio.open_connection(server.vm.ip, server.vm.ports["control"])
            break
        except OSError:
            await asyncio.sleep(0.05)
    else:
        raise b.CannotRun("the late report found no daemon")
    writer.write(f"PUT /api/instances/{server.instance} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
                 f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
    head = await asyncio.wait_for(b.read_head(reader), 2)
    bed.record.say(f"the late report, sent {LATE_S} s before, was answered {head and head[0]}")
    writer.close()


async def case(bed, trouble):
    ways = []
    for number, zone in enumerate(("thies-nord", "thies-nord", "thies-centre", "thies-sud"), 1):
        vm = bed.add_vm(f"sidecar-{zone}-{number}", "order-desk", zone)
        server = b.Server(bed, vm, f"i-{vm.name}")
        server.work_s = lambda target, fields: 0.21
        bed.servers.append(server)
        ways.append(Way(bed, vm))
    bed.configure(1, [{"name": "commit", "host": HOST, "path-prefix": "/commits/", "kind": "non_idempotent",
                       "timeout-ms": 1500, "goal-ms": 600, "priority": 1, "service": "order-desk",
                       "max-attempts": 2}], ["order-desk"])
    for way in ways:
        await way.start()
    original = b.Vm.settings

    def settings(vm):
        document = original(vm)
        way = [way for way in ways if way.vm is vm][0]
        document["platform"]["platform"]["address"] = way.address
        return document
    b.Vm.settings = settings
    await bed.start()
    leaver, home, way = bed.servers[0], bed.vms[0], ways[0]
    answers, pending, number = {}, [], 0
    # The server's last report is on its way for LATE_S; then it sends DELETE first, as some servers do.
    leaver.beats.cancel()
    leaver.sequence += 1
    message = {"service": home.service, "address": f"{home.ip}:{home.ports['app']}", "zone": home.zone, "version": "v1",
               "slots": leaver.slots, "state": "ready", "warmup-left-ms": 0, "sequence": leaver.sequence,
               "born": leaver.born}
    bed.spawn(late_report(bed, leaver, message))
    await asyncio.sleep(0.2)
    status = await leaver.report("DELETE")
    acknowledged = time.monotonic()
    bed.record.say(f"DELETE of {leaver.instance} was answered {status}")
    if status != 200:
        raise b.CannotRun("the departure was not acknowledged")
    started = acknowledged
    if trouble:
        await asyncio.sleep(0.3)
        way.away = True
        asyncio.get_running_loop().call_later(TURNED_AWAY_S, setattr, way, "away", False)
        bed.record.write(f"the store turns {home.name} away")
        for vm in bed.vms:
            vm.signal(signal.SIGKILL)
        await asyncio.gather(*(vm.process.wait() for vm in bed.vms))
        await asyncio.sleep(DOWN_S)
        for vm in bed.vms:
            await vm.start()
        started = time.monotonic()
    while time.monotonic() < acknowledged + SERVES_ON_S:
        for vm in bed.vms:
            if not vm.gets_work():
                continue
            number += 1
            pending.append(bed.spawn(ask(bed, vm, number, answers)))
        await asyncio.sleep(0.15)
    # The server exits; what it runs has begun and gets no result.
    leaver.server.close()
    for writer in list(leaver.writers):
        writer.transport.abort()
    bed.record.write("the server exits")
    await asyncio.gather(*pending)
    in_touch = max(started + TOUCH_S, acknowledged + DRAIN_S)
    reached = [(at - acknowledged, request_id) for at, request_id, _, _, _ in leaver.runs
               if at > acknowledged + DRAIN_S and request_id in answers and answers[request_id][0] > in_touch]
    own = [item for item in reached if answers[item[1]][1] is home]
    lost = [request_id for _, request_id in reached if answers[request_id][2] != 200]
    bed.record.say(f"{len(answers)} bookings; {len(reached)} reached the server that had left, later than drain-ms after "
                   f"the acknowledgement and from machines whose process ran for stable-window-ms: {len(own)} of them "
                   f"from the machine that had acknowledged; first {min(reached, default=(0, ''))[0]:.1f} s after it; "
                   f"without a result {len(lost)}")
    if sum(status == 200 for _, _, status in answers.values()) < 10:
        raise b.CannotRun("hardly anything was served")
    return not own


b.main(case, pathlib.Path(__file__).resolve().parent)
