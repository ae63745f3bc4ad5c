"""A daemon is stopped in order (SIGTERM) while consumers that pipeline use it: are all answers that it had got whole?"""
import asyncio
import pathlib
import random
import signal
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins-3"))
import bed as b  # noqa: E402

HOST = "orders.example"
ANSWER_BYTES = 30000  # the largest of lot-lookup at the site
WORK_S = 0.16
LIMIT_MS = 1200
CONSUMERS = 24
GAP_MAX_S = 0.3  # between the requests of one consumer, answered or not; evenly from 0
ONE_WAY_S = 0.008  # between consumers and machines at the site
FLIGHT_BYTES = 14600  # ten segments, which a new connection has on its way at once
GRACE_S = 6


class Link:
    """The network between consumers and a machine: 8 ms one way, and a window that is acknowledged each round trip."""

    def __init__(self, bed, vm):
        self.bed, self.vm = bed, vm
        self.port = None

    async def start(self):
        server = await asyncio.start_server(self.serve, self.bed.net + ".200", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        near = socket.socket()
        near.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, FLIGHT_BYTES // 2)
        near.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(near, (self.vm.ip, self.vm.ports["outbound"]))
        except OSError:
            writer.transport.abort()
            return
        loop = asyncio.get_running_loop()

        async def upwards():
            try:
                while data := await reader.read(65536):
                    loop.call_later(ONE_WAY_S, lambda data=data: self.send(near, data))
            except ConnectionError:
                pass

        async def downwards():
            try:
                while True:
                    data = await loop.sock_recv(near, FLIGHT_BYTES)
                    if not data:
                        loop.call_later(ONE_WAY_S, writer.close)
                        return
                    loop.call_later(ONE_WAY_S, lambda data=data: self.pass_on(writer, data))
                    if len(data) >= FLIGHT_BYTES // 2:
                        await asyncio.sleep(2 * ONE_WAY_S)
            except OSError:
                loop.call_later(ONE_WAY_S, writer.transport.abort)

        up = self.bed.spawn(upwards())
        try:
            await downwards()
            await asyncio.sleep(2 * ONE_WAY_S)
        except asyncio.CancelledError:
            pass
        finally:
            up.cancel()
            near.close()

    @staticmethod
    def send(near, data):
        try:
            near.send(data)
        except OSError:
            pass

    @staticmethod
    def pass_on(writer, data):
        if not writer.is_closing():
            writer.write(data)


class Consumer:
    """Sends a request each period on a kept connection, and does not wait for the answers to those before."""

    def __init__(self, bed, link, number, results):
        self.bed, self.link, self.number, self.results = bed, link, number, results
        self.sent = 0

    async def run(self, until):
        await asyncio.sleep(random.random() * GAP_MAX_S)
        while time.monotonic() < until:
            if not self.link.vm.gets_work():
                await asyncio.sleep(0.1)
                continue
            try:
                reader, writer = await asyncio.open_connection(self.bed.net + ".200", self.link.port, limit=1 << 20)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            open_ids = []
            closing = asyncio.Event()
            reading = asyncio.ensure_future(self.read(reader, open_ids, closing))
            try:
                while not closing.is_set() and time.monotonic() < until and self.link.vm.gets_work():
                    self.sent += 1
                    request_id = f"c{self.number}-{self.sent}"
                    open_ids.append((request_id, time.monotonic()))
                    writer.write(b.request_bytes("GET", f"/lots/{request_id}", HOST, request_id, LIMIT_MS))
                    self.bed.record.write(f"sent {request_id}")
                    try:
                        await asyncio.wait_for(closing.wait(), random.random() * GAP_MAX_S)
                    except asyncio.TimeoutError:
                        pass
                try:
                    await asyncio.wait_for(reading, 3 if closing.is_set() else 1.5)
                except asyncio.TimeoutError:
                    pass
            except ConnectionError:
                pass
            finally:
                reading.cancel()
                writer.close()

    async def read(self, reader, open_ids, closing):
        while True:
            answer = b.Answer()
            try:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                answer.status = int(lines[0].split()[1])
                answer.fields = {line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip()
                                 for line in lines[1:] if ":" in line}
                if answer.fields.get("connection", "").lower() == "close":
                    closing.set()  # nothing more is sent on this connection
                length = int(answer.fields["content-length"])
                while len(answer.body) < length:
                    chunk = await reader.read(length - len(answer.body))
                    if not chunk:
                        raise EOFError
                    answer.body += chunk
                answer.whole = True
                answer.end = "whole"
            except (EOFError, asyncio.IncompleteReadError, ConnectionError) as error:
                answer.end = f"{type(error).__name__} after {len(answer.body)} bytes of the body"
                closing.set()
            if open_ids:
                request_id, at = open_ids.pop(0)
                self.results.append((request_id, at, time.monotonic(), answer))
                if answer.status == 0:
                    await asyncio.sleep(0.2)  # the machine takes no connection
                self.bed.record.write(f"answer {request_id}: {answer.status} {answer.end}"
                                      f"{' close' if closing.is_set() else ''}")
            if not answer.whole:
                # Requests behind the one that was broken off; they are sent again on a new connection.
                for request_id, at in open_ids:
                    self.bed.record.write(f"not answered, behind another: {request_id}")
                open_ids.clear()
                return
            if closing.is_set():
                open_ids.clear()
                return


async def case(bed, trouble):
    # Two machines in the first one's zone, so that its consumers get no new work after two misses.
    first = bed.add_vm("sidecar-thies-nord-1", "order-desk", "thies-nord")
    for number, zone in ((2, "thies-nord"), (3, "thies-centre"), (4, "thies-sud")):
        bed.add_vm(f"sidecar-{zone}-{number}", "order-desk", zone)
    for vm in bed.vms:
        server = b.Server(bed, vm, f"i-{vm.name}")
        server.work_s = lambda target, fields: WORK_S * (0.6 + 0.8 * random.random())
        server.body_of = lambda target, fields, body: (target.encode() + b"\n") + b"x" * (ANSWER_BYTES - len(target) - 1)
        bed.servers.append(server)
    bed.configure(1, [{"name": "lookup", "host": HOST, "path-prefix": "/lots/", "kind": "idempotent",
                       "timeout-ms": 1200, "goal-ms": 500, "priority": 2, "service": "order-desk",
                       "max-attempts": 2}], ["order-desk"])
    await bed.start()
    link = Link(bed, first)
    await link.start()
    results = []
    begin = time.monotonic()
    consumers = [bed.spawn(Consumer(bed, link, number, results).run(begin + 14)) for number in range(CONSUMERS)]
    await asyncio.sleep(5)
    stopped_at = time.monotonic()
    if trouble:
        first.signal(signal.SIGTERM)
    await asyncio.sleep(GRACE_S)
    if trouble and first.alive():
        first.signal(signal.SIGKILL)
    if trouble:
        await first.process.wait()
        bed.record.write("daemon sidecar-thies-nord-1 ended")
        await first.start()
    await asyncio.gather(*consumers)
    ran = {request_id for server in bed.servers for _, request_id, _, _, _ in server.runs}
    broken = [(request_id, answer) for request_id, at, ended, answer in results
              if not answer.whole and answer.status == 200 and request_id in ran and ended - at < LIMIT_MS / 1000
              and stopped_at - LIMIT_MS / 1000 <= at <= stopped_at + GRACE_S + 1]
    before = [request_id for request_id, at, _, answer in results if not answer.whole and at < stopped_at - 1.2]
    bed.record.say(f"{len(results)} requests ended; broken off before the stop: {len(before)}; run by a server, their "
                   f"answer begun and broken off around the stop: {len(broken)}")
    for request_id, answer in broken:
        bed.record.say(f"  {request_id}: {answer.status}, {answer.end} of {answer.fields.get('content-length')}")
    whole = sum(answer.whole and answer.status == 200 for _, _, _, answer in results)
    if whole < 100:
        raise b.CannotRun(f"only {whole} requests were answered")
    return not broken


b.main(case, pathlib.Path(__file__).resolve().parent)
