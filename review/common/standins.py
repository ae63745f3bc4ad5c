"""Stand-ins for the platform of the users: metadata store, application servers, consumers.

They follow the users' page PROTOCOL.md and behave like a sound platform, unless a test tells them otherwise.
Everything runs in one asyncio loop on loopback addresses; only the daemons are separate processes.
"""
import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
RUN = ROOT / "target" / "cornelwell"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what happened to a file, one line an event, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Reads one HTTP message. Returns its first line, its fields (lower case) and its body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = b""
    try:
        if "chunked" in fields.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    break
        elif "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], fields, body


def message(first, fields, body=b""):
    text = first + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout"}


def answer(status, fields=None, body=b""):
    return message(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", fields or {}, body)


def json_answer(status, value):
    return answer(status, {"Content-Type": "application/json"}, json.dumps(value).encode())


class Store:
    """The metadata store: objects by kind and name, one revision counter, watches. Linearizable."""

    def __init__(self, record):
        self.record = record
        self.objects = {}
        self.events = []
        self.revision = 1
        self.changed = asyncio.Condition()
        self.down = None  # None or "silent"
        self.connections = set()

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=4 << 20)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                if self.down == "silent":
                    await asyncio.sleep(3600)
                reply = await self.handle(*request)
                if self.down == "silent":
                    await asyncio.sleep(3600)
                writer.write(reply)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def put(self, kind, name, spec):
        """Writes an object as the operator does; returns when it is acknowledged."""
        method = "PUT" if name in self.objects.get(kind, {}) else "POST"
        await self.write(method, kind, name, {"meta": {"name": name}, "spec": spec})

    async def write(self, method, kind, name, body, revision=None):
        objects = self.objects.setdefault(kind, {})
        old = objects.get(name)
        if method == "POST" and old is not None:
            return json_answer(409, old)
        if method != "POST" and old is None:
            return answer(404)
        wanted = revision if revision is not None else (body or {}).get("meta", {}).get("revision")
        if wanted is not None and old is not None and int(wanted) != old["meta"]["revision"]:
            return json_answer(409, old)
        if method == "DELETE":
            objects.pop(name)
            new = dict(old)
        else:
            new = {"meta": {"name": name, "revision": 0, "created-rev": self.revision + 1, "finalizers": [],
                            "delete-requested": False}, "spec": None, "status": None}
            if old is not None:
                new = json.loads(json.dumps(old))
            if body.get("_status"):
                new["status"] = body.get("status")
            else:
                new["spec"] = body.get("spec")
            if old is not None and new == old:
                return json_answer(200, old)
        self.revision += 1
        new["meta"]["revision"] = self.revision
        if method != "DELETE":
            objects[name] = new
        async with self.changed:
            self.events.append((self.revision, kind, new, method == "DELETE"))
            self.changed.notify_all()
        return json_answer(200, new)

    async def handle(self, first, fields, body):
        method, target, _ = first.split(" ", 2)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        parts = [part for part in url.path.split("/") if part]
        if parts[:2] != ["api", "objects"] or len(parts) < 3:
            return answer(404)
        kind, rest = parts[2], parts[3:]
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait-ms", "0")))
        if method == "GET" and not rest:
            names = [name for name in sorted(self.objects.get(kind, {})) if name > query.get("after", "")]
            items = [self.objects[kind][name] for name in names[:500]]
            return json_answer(200, {"items": items, "has-more": len(names) > 500, "store-revision": self.revision})
        if method == "GET":
            found = self.objects.get(kind, {}).get(rest[0])
            return answer(404) if found is None else json_answer(200, found)
        value = json.loads(body) if body else {}
        if rest[1:] == ["status"]:
            value["_status"] = True
        name = rest[0] if rest else value["meta"]["name"]
        return await self.write(method, kind, name, value, query.get("revision"))

    async def watch(self, kind, revision, wait_ms):
        def news():
            return [{"object": one, "deleted": gone} for at, of, one, gone in self.events if at > revision and of == kind]

        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(news), min(wait_ms, 30000) / 1000)
            except asyncio.TimeoutError:
                pass
        return json_answer(200, {"events": news(), "store-revision": self.revision})


class Server:
    """An application server beside a daemon. Each start is a new object: a new boot."""

    def __init__(self, record, vm, service, slots=6, work_ms=100, identity=None, caller=None, zone="east"):
        self.record, self.vm, self.service, self.slots, self.work_ms = record, vm, service, slots, work_ms
        self.id = identity or f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.zone = zone
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Condition()
        self.arrivals = []  # (seconds, request id, path, fields) that reached the server and were not turned away by 421
        self.runs = {}  # request id -> times begun
        self.acks = []  # (seconds, state)
        self.tasks = set()
        self.writers = set()
        self.caller = caller
        self.heartbeats = None

    async def start(self, heartbeat_s=1.5):
        self.server = await asyncio.start_server(self.serve, self.vm.ip, self.vm.ports["app"], limit=4 << 20)
        self.record(f"server {self.id} ({self.service}) starts at {self.vm.ip}:{self.vm.ports['app']}")
        if heartbeat_s:
            self.heartbeats = asyncio.ensure_future(self.beat(heartbeat_s))
        return self

    def report(self):
        self.sequence += 1
        return {"service": self.service, "address": f"{self.vm.ip}:{self.vm.ports['app']}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state, "warmup-left-ms": 0,
                "sequence": self.sequence, "born": self.born}

    async def notify(self, method="PUT", body=None, timeout=1.0):
        """Sends a report or a deregistration to the daemon. Returns the status; 0 without an answer."""
        value = self.report() if body is None and method == "PUT" else (body if body is not None else {"born": self.born})
        status, _, _ = await exchange(self.vm.control, method, f"/api/instances/{self.id}",
                                      {"Content-Type": "application/json"}, json.dumps(value).encode(), timeout)
        if 200 <= status < 300:
            self.acks.append((self.record.now(), method, value.get("state")))
        return status

    async def beat(self, interval):
        while True:
            await self.notify()
            await asyncio.sleep(interval)

    def crash(self):
        """Ends at once, as a killed process does."""
        self.record(f"server {self.id} ends with {self.running} requests running")
        if self.heartbeats:
            self.heartbeats.cancel()
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                reply = await self.handle(*request)
                writer.write(reply)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def handle(self, first, fields, body):
        method, target, _ = first.split(" ", 2)
        number = fields.get("cornelwell-try-id", "")
        echo = {"Cornelwell-Try-Id": number, "Keep-Alive": "timeout=10"}
        if target.startswith("/health"):
            return answer(200 if self.state == "ready" else 503, {"Cornelwell-Instance-Id": self.id})
        expected = fields.get("cornelwell-expect-instance")
        if expected is not None and expected != self.id:
            return answer(421, {**echo, "Cornelwell-Instance-Id": self.id})
        if not number:
            return answer(400, {**echo, "Cornelwell-Not-Executed": "1"})
        self.arrivals.append((self.record.now(), number, target, fields))
        self.record(f"server {self.id} ({self.service}) gets {method} {target} id {number}"
                    f" caller {fields.get('cornelwell-caller-service')}")
        if self.running >= self.slots and self.waiting >= 4 * self.slots:
            return answer(503, {**echo, "Cornelwell-Not-Executed": "1"})
        limit = time.monotonic() + int(fields.get("cornelwell-deadline-ms", "60000")) / 1000
        self.waiting += 1
        async with self.free:
            await self.free.wait_for(lambda: self.running < self.slots)
            self.waiting -= 1
            self.running += 1
        try:
            if time.monotonic() >= limit:
                return answer(503, {**echo, "Cornelwell-Not-Executed": "1"})
            self.runs[number] = self.runs.get(number, 0) + 1
            self.record(f"server {self.id} ({self.service}) runs {number}, time {self.runs[number]}")
            work = self.work_ms / 1000
            left = limit - time.monotonic()
            await asyncio.sleep(min(work, left))
            echo["Cornelwell-Server-Seal"] = f"{self.id}.{number}"
            if work > left:
                return answer(504, echo, b"too late")
            return answer(200, echo, f"{self.id} {method} {target} {len(body)}".encode())
        finally:
            async with self.free:
                self.running -= 1
                self.free.notify_all()


async def exchange(address, method, target, fields=None, body=b"", timeout=5.0, connect_timeout=1.0):
    """One request on a new connection. Returns status, fields, body; status 0 when there is no whole answer."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address, limit=4 << 20), connect_timeout)
        head = {"Host": "any"}
        head.update(fields or {})
        writer.write(message(f"{method} {target} HTTP/1.1", head, body))
        reply = await asyncio.wait_for(read_message(reader), timeout)
        if reply is None:
            return 0, {}, b""
        return int(reply[0].split()[1]), reply[1], reply[2]
    except (OSError, asyncio.TimeoutError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


class Vm:
    """One VM: a loopback address, ports, the settings file and the daemon process."""

    def __init__(self, world, name, service, zone, ip, ports):
        self.world, self.name, self.service, self.zone, self.ip, self.ports = world, name, service, zone, ip, ports
        self.file = world.folder / f"{name}.json"
        self.log = world.folder / f"{name}.log"
        self.process = None
        self.starts = 0

    @property
    def outbound(self):
        return self.ip, self.ports["outbound"]

    @property
    def control(self):
        return self.ip, self.ports["control"]

    @property
    def ready(self):
        return self.ip, self.ports["ready"]

    def settings(self):
        def at(name):
            return f"{self.ip}:{self.ports[name]}"

        return {
            "self": {"node-name": self.name, "role": "proxy", "machine-class": "sidecar", "serves": ["sidecar"],
                     "ip": self.ip, "zone": self.zone, "region": "home", "loss-counts": False,
                     "bootstrap": self.starts == 0, "data-dir": None,
                     "limits": {"cpu-share": 0.2, "cores": 1, "memory-mb": self.world.memory_mb, "max-fds": 4100,
                                "link-mbps": 1000.0, "disk-mb": 0},
                     "app-addr": at("app"), "service": self.service},
            "network": {"listen-addrs": {"inbound": at("inbound"), "outbound": at("outbound"), "ready": at("ready"),
                                         "control": at("control")},
                        "internal-ports": [self.ports["link"], self.ports["link"] + 15], "seeds": [],
                        "zones": {zone: "home" for zone in self.world.zones}},
            "platform": {"discovery": "static", "entry": "static", "heartbeat-interval-ms": 1500,
                         "platform": {"address": "%s:%d" % self.world.store_address, "form": "objects",
                                      "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20,
                                      "value-bytes": 1048576, "ttl-min-ms": 1000}},
            "timers": {"contracts": ["base", "drain", "config", "cost", "retry", "recover", "platform"],
                       "tolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": self.world.bounds}}

    def write_settings(self):
        temporary = self.file.with_suffix(".new")
        temporary.write_text(json.dumps(self.settings()))
        temporary.rename(self.file)

    def start(self):
        self.write_settings()
        self.starts += 1
        out = open(self.log, "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["CORNELWELL_CONFIG"] = str(self.file)
        self.process = subprocess.Popen([str(RUN), "proxy"], cwd=ROOT, stdout=out, stderr=out, env=environment)
        self.world.record(f"daemon {self.name} starts")

    def send(self, number):
        self.world.record(f"daemon {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.process.wait()


BOUNDS = {"seed-lag-s": 3, "addr-reuse-s": 2, "stable-window-ms": 3000, "ack-ms": 4000, "sync-s": 4, "drain-ms": 2000,
          "grace-s": 6, "loss-slack-ms": 200, "apply-ms": 2000, "revert-slack-ms": 250, "skew-max-ms": 5000,
          "budget-ratio": 0.2, "budget-window-s": 10, "budget-slack": 64, "recover-s": 15}


def free_ports(ip, count):
    """Finds a block of ports that nobody uses on the address."""
    for _ in range(200):
        base = random.randrange(20000, 30000)
        sockets = []
        try:
            for port in range(base, base + count):
                one = socket.socket()
                sockets.append(one)
                one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                one.bind((ip, port))
            return base
        except OSError:
            continue
        finally:
            for one in sockets:
                one.close()
    raise OSError("no free ports")


class World:
    """The store, the VMs and the temporary folder of one test."""

    def __init__(self, folder, memory_mb=260, bounds=None):
        self.case = pathlib.Path(folder)
        self.record = Record(self.case / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="cornelwell-review-"))
        self.memory_mb = memory_mb
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.vms = {}
        self.zones = []
        self.store = Store(self.record)
        self.net = random.randrange(16, 250)
        self.store_address = (f"127.{self.net}.200.1", 0)
        self.servers = []
        self.number = 0
        self.record(f"trouble {'on' if TROUBLE else 'off'}")

    async def open_store(self):
        port = free_ports(self.store_address[0], 1)
        self.store_address = (self.store_address[0], port)
        await self.store.start(*self.store_address)

    def add_vm(self, name, service, zone="east"):
        ip = f"127.{self.net}.{1 + len(self.vms) // 200}.{1 + len(self.vms) % 200}"
        base = free_ports(ip, 24)
        names = ["outbound", "inbound", "ready", "control", "app", "spare"]
        ports = {one: base + i for i, one in enumerate(names)}
        ports["link"] = base + 8
        if zone not in self.zones:
            self.zones.append(zone)
        vm = self.vms[name] = Vm(self, name, service, zone, ip, ports)
        return vm

    async def configure(self, version, routes, services, limits=None, **more):
        document = {"version": f"{version:08x}", "routes": routes,
                    "services": [{"name": name, "health": "/health", "max-conns": 130, "protocol": "h1", "tls": False}
                                 for name in services],
                    "limits": {"header-bytes": 16384, "body-bytes": 67108864, "header-timeout-ms": 3000,
                               "idle-timeout-ms": 15000, **(limits or {})}, **more}
        await self.store.put("config", "main", document)
        self.record(f"configuration {version} is acknowledged")

    def server(self, vm, service=None, **options):
        server = Server(self.record, vm, service or vm.service, zone=vm.zone, **options)
        self.servers.append(server)
        return server

    async def until_ready(self, vm, seconds=10.0):
        """Asks once a second for readiness, as the platform does, but sooner at the start."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            status, _, _ = await exchange(vm.ready, "GET", "/api/ready", timeout=1.0)
            if status == 200:
                return True
            await asyncio.sleep(0.2)
        return False

    async def call(self, vm, path, method="GET", body=b"", limit_ms=1500, fields=None, note=""):
        """One try of a consumer on a new connection. Returns id, status, fields, body."""
        self.number += 1
        number = f"{random.getrandbits(40):010x}{self.number:06x}"
        head = {"Host": "desk.example", "Cornelwell-Try-Id": number, "Cornelwell-Deadline-Ms": str(limit_ms)}
        head.update(fields or {})
        self.record(f"consumer at {vm.name} sends {method} {path} id {number} {note}")
        status, back, data = await exchange(vm.outbound, method, path, head, body, limit_ms / 1000 + 0.5)
        self.record(f"consumer at {vm.name} gets {status} for {number}"
                    f" seal {back.get('cornelwell-server-seal')} retry-after {back.get('retry-after')}")
        return number, status, back, data

    def close(self):
        for vm in self.vms.values():
            if vm.process and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
                vm.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class KeptConsumer:
    """A consumer that sends request after request on a kept connection, and opens a new one when it is closed."""

    def __init__(self, world, vm, path, method, body=b"", limit_ms=1500, pause_s=0.02):
        self.world, self.vm, self.path, self.method, self.body = world, vm, path, method, body
        self.limit_ms, self.pause_s = limit_ms, pause_s
        self.results = []  # (seconds sent, id, status); status 0: the connection ended, -1: no answer in time
        self.task = asyncio.ensure_future(self.run())

    async def run(self):
        world = self.world
        while True:
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.vm.outbound), 1)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.2)
                continue
            try:
                while await self.once(reader, writer, world):
                    await asyncio.sleep(self.pause_s)
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()
            await asyncio.sleep(0.1)

    async def once(self, reader, writer, world):
        world.number += 1
        number = f"{random.getrandbits(40):010x}{world.number:06x}"
        sent = world.record.now()
        status = 0
        try:
            writer.write(message(f"{self.method} {self.path} HTTP/1.1",
                                 {"Host": "desk.example", "Cornelwell-Try-Id": number,
                                  "Cornelwell-Deadline-Ms": str(self.limit_ms)}, self.body))
            reply = await asyncio.wait_for(read_message(reader), self.limit_ms / 1000 + 0.5)
            status = 0 if reply is None else int(reply[0].split()[1])
            return reply is not None and "close" not in reply[1].get("connection", "").lower()
        except asyncio.TimeoutError:
            status = -1
            return False
        finally:
            self.results.append((sent, number, status))
            world.record(f"kept connection at {self.vm.name}: {self.method} {self.path} id {number}"
                         f" sent at {sent:.3f} gets {status}")

    def stop(self):
        self.task.cancel()


def route(name, prefix, service, kind="idempotent", timeout_ms=1500, goal_ms=600, priority=1, attempts=2, **more):
    return {"name": name, "host": "desk.example", "path-prefix": prefix, "kind": kind, "timeout-ms": timeout_ms,
            "goal-ms": goal_ms, "priority": priority, "service": service, "max-attempts": attempts, **more}


def run(case, scenario, **options):
    """Runs a scenario. Exit code 1: the rule was broken, 0: it held, 2: the case could not run."""
    if not RUN.exists():
        print("target/cornelwell is missing; run the deploy file's build first")
        raise SystemExit(2)
    world = World(pathlib.Path(case).resolve().parent, **options)

    def finish(verdict, text):
        # Ends at once: open connections of the stand-ins need no orderly end.
        world.close()
        world.record(f"verdict {verdict}: {text}")
        print(text, flush=True)
        os._exit(verdict)

    async def main():
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, finish, 2, "the case was stopped")
        try:
            await world.open_store()
            verdict, text = await asyncio.wait_for(scenario(world), 112)
        except Exception as error:  # the case could not run; say why
            traceback.print_exc()
            verdict, text = 2, f"the case could not run: {type(error).__name__}: {error}"
        finish(verdict, text)

    asyncio.run(main())
