"""Servers that write answers twice, cut, spoiled or without end: does a request run twice, or get a wrong answer?

usage: trial.py SEED. Ends with 1 when a request that may not be repeated ran twice, or was refused and has run.
"""
import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins-3"))
import bed as b  # noqa: E402

HOST = "h.example"
LENGTH_S = 60
CONSUMERS = 30
UNSAFE = ("orders", "writes")


class FaultyServer(b.Server):
    """One answer in five is written twice (at once, or late), cut, spoiled, or followed by bytes without end."""

    async def again(self, writer, data):
        await asyncio.sleep(random.random() * 0.3)
        try:
            writer.write(data)
        except (ConnectionError, RuntimeError):
            pass

    async def without_end(self, writer, data, own):
        writer.write(random.choice([data[:20], b.head_bytes(200, own, None)]))
        for _ in range(600):
            writer.write(random.choice([b"z" * 65536, b"X-A: b\r\n" * 4000]))
            await writer.drain()

    async def answer(self, method, target, fields, body, own):
        """The bytes of an answer; one request in seventeen is refused, half of these without an identifier."""
        request_id = fields.get("cornelwell-try-id", "")
        if self.running >= self.slots or random.random() < 0.06:
            shown = own if random.random() < 0.5 else own[1:]
            return b.head_bytes(503, shown + [("Cornelwell-Not-Executed", "1")], 0)
        self.running += 1
        self.runs.append((time.monotonic(), request_id, method, target, len(body)))
        try:
            await asyncio.sleep(random.choice([0.01, 0.05, 0.2]))
        finally:
            self.running -= 1
        data = target.encode() + b"|" + b"y" * random.choice([10, 3000, 20000])
        return b.head_bytes(200, own + [("Cornelwell-Server-Seal", f"seal-{request_id}")], len(data)) + data

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while head := await b.read_head(reader):
                method, target, _ = head[0].split(" ", 2)
                fields = head[1]
                body = await b.read_body(reader, fields)
                request_id = fields.get("cornelwell-try-id", "")
                own = [("Cornelwell-Try-Id", request_id), ("Keep-Alive", "timeout=10")]
                if fields.get("cornelwell-expect-instance", self.instance) != self.instance:
                    writer.write(b.head_bytes(421, own, 0))
                    continue
                data = await self.answer(method, target, fields, body, own)
                fault = random.random()
                self.bed.record.write(f"{self.vm.name} connection {id(writer)} {request_id} {data[9:12]!r} "
                                      f"id {b'Try-Id' in data} fault {fault:.3f}")
                if fault < 0.80:
                    writer.write(data)
                elif fault < 0.86:
                    writer.write(data + data)
                elif fault < 0.92:
                    writer.write(data)
                    self.bed.spawn(self.again(writer, data))
                elif fault < 0.96:
                    writer.write(data[:random.randrange(len(data))])
                    if random.random() < 0.5:
                        writer.transport.abort()
                    return
                elif fault < 0.98:
                    writer.write(data[:random.randrange(len(data))] + bytes(random.randrange(256) for _ in range(30)))
                else:
                    await self.without_end(writer, data, own)
                    return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, RuntimeError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def route(name, service, kind):
    return {"name": name, "host": HOST, "path-prefix": f"/{name}/", "kind": kind, "timeout-ms": 1500, "goal-ms": 600,
            "priority": 1, "service": service, "max-attempts": 2}


async def consumer(bed, until, state):
    while time.monotonic() < until:
        vm = random.choice(bed.vms)
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(vm.ip, vm.ports["outbound"], limit=1 << 20), 1)
            for _ in range(random.randint(1, 8)):
                state["number"] += 1
                request_id = f"g{state['number']}"
                kind = random.choice(["lots", "orders", "writes", "certs"])
                body = b"q" * random.choice([0, 30, 14000]) if kind in UNSAFE else b""
                state["sent"][request_id] = [kind, 0]
                writer.write(b.request_bytes("POST" if kind in UNSAFE else "GET", f"/{kind}/{request_id}", HOST,
                                             request_id, 1500, body))
                answer = await asyncio.wait_for(b.read_answer(reader), 4)
                state["sent"][request_id][1] = answer.status if answer.whole else -1
                if not answer.whole:
                    break
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer:
                writer.transport.abort()


async def case(bed, _):
    random.seed(int(sys.argv[1]) if len(sys.argv) > 1 else 2)
    for number, (service, zone) in enumerate([("desk", "a"), ("desk", "b"), ("reg", "a"), ("reg", "b")]):
        vm = bed.add_vm(f"vm-{number}", service, zone)
        bed.servers.append(FaultyServer(bed, vm, f"i-{vm.name}"))
    bed.configure(1, [route("lots", "desk", "idempotent"), route("orders", "desk", "non_idempotent"),
                      route("writes", "reg", "upload"), route("certs", "reg", "idempotent")], ["desk", "reg"])
    await bed.start()
    state = {"number": 0, "sent": {}}
    until = time.monotonic() + LENGTH_S
    await asyncio.gather(*(bed.spawn(consumer(bed, until, state)) for _ in range(CONSUMERS)))
    runs = {}
    for server in bed.servers:
        for _, request_id, _, _, _ in server.runs:
            runs[request_id] = runs.get(request_id, 0) + 1
    unsafe = {request_id: status for request_id, (kind, status) in state["sent"].items() if kind in UNSAFE}
    twice = [request_id for request_id in unsafe if runs.get(request_id, 0) > 1]
    refused = [request_id for request_id, status in unsafe.items()
               if status in (408, 421, 429, 503) and runs.get(request_id)]
    bed.record.say(f"{state['number']} requests; ran twice: {twice}; refused and ran: {refused}")
    return not twice and not refused


b.main(case, pathlib.Path(__file__).resolve().parent)
