"""Stand-ins for the scripts of the second review: the platform's store, servers, clients, and a small deployment.

They follow the users' pages. The daemons are the deploy file's own program, started with its command as separate
processes. All addresses are loopback addresses; ports are free ones, and files lie in a temporary folder.
"""
import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PROGRAM = ["target/cornelwell", "proxy"]  # The words of `run` in deploy/system.toml.
STARTED = time.monotonic()
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The bounds of the site anrmh-mesh.
BOUNDS = {"seed-lag-s": 3, "addr-reuse-s": 2, "stable-window-ms": 3000, "ack-ms": 4000, "sync-s": 4, "drain-ms": 2000,
          "grace-s": 6, "loss-slack-ms": 200, "apply-ms": 2000, "revert-slack-ms": 250, "skew-max-ms": 5000,
          "budget-ratio": 0.2, "budget-window-s": 10, "budget-slack": 64, "recover-s": 15}


class Broken(Exception):
    """The case could not run."""


def now():
    """Seconds since the start of the case."""
    return time.monotonic() - STARTED


class Record:
    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.add(f"case {pathlib.Path(folder).name}, TROUBLE={1 if TROUBLE else 0}")

    def add(self, text):
        self.file.write(f"{now():8.3f} s  {text}\n")
        self.file.flush()


def free_port(ip, span=1):
    """A port that is free at the address, with the next span - 1 ones."""
    for _ in range(200):
        port = random.randrange(20000, 32000)
        try:
            for one in range(port, port + span):
                with socket.socket() as probe:
                    probe.bind((ip, one))
            return port
        except OSError:
            continue
    raise Broken(f"no free port at {ip}")


async def read_message(reader):
    """One HTTP message with a length: (first line, fields, body); None when the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    rows = head.decode("latin-1").split("\r\n")
    fields = {}
    for row in rows[1:]:
        if ":" in row:
            key, value = row.split(":", 1)
            fields[key.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(fields.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return rows[0], fields, body


def reset(writer):
    """Ends a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Store:
    """The platform's store. `link` may replace how the bytes of an answer leave, as a link that breaks would."""

    def __init__(self, record, ip="127.20.0.1"):
        self.record = record
        self.ip = ip
        self.port = free_port(ip)
        self.objects = {}
        self.events = []
        self.revision = 10
        self.changed = asyncio.Event()
        self.link = None
        self.fronts = []
        self.calls = 0

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=2 ** 22)

    async def front(self, link):
        """Opens a further address of the store, whose answers leave through a link of its own; returns it."""
        port = free_port(self.ip)
        self.fronts.append(await asyncio.start_server(lambda reader, writer: self.serve(reader, writer, link), self.ip,
                                                      port, limit=2 ** 22))
        return f"{self.ip}:{port}"

    async def serve(self, reader, writer, own_link=None):
        try:
            while (message := await read_message(reader)) is not None:
                self.calls += 1
                status, body = await self.answer(message)
                data = json.dumps(body, separators=(",", ":")).encode()
                head = (f"HTTP/1.1 {status} {'OK' if status == 200 else 'Other'}\r\nContent-Type: application/json\r\n"
                        f"Content-Length: {len(data)}\r\n\r\n").encode()
                link = own_link or self.link
                if link is not None:
                    if not await link(head + data, writer, message[0]):
                        return
                    continue
                writer.write(head + data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, message):
        line, _, body = message
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        arguments = dict(part.partition("=")[::2] for part in query.split("&") if part)
        words = path.split("/")
        if words[:3] != ["", "api", "objects"] or len(words) < 4:
            return 404, {}
        kind, name, status_part = words[3], "/".join(words[4:5]), words[5:6] == ["status"]
        objects = self.objects.setdefault(kind, {})
        if method == "GET" and "watch" in arguments:
            return await self.watch(kind, int(arguments["watch"]), int(arguments.get("wait-ms", 0)))
        if method == "GET" and not name:
            items = [objects[key] for key in sorted(objects) if key > arguments.get("after", "")]
            return 200, {"items": items, "has-more": False, "store-revision": self.revision}
        if method == "GET":
            return (200, objects[name]) if name in objects else (404, {})
        if method == "DELETE":
            if name not in objects:
                return 404, {}
            self.note(kind, objects.pop(name), True)
            return 200, {}
        value = json.loads(body)
        name = name or value["meta"]["name"]
        if method == "POST" and name in objects:
            return 409, objects[name]
        if method == "PUT" and name not in objects:
            return 404, {}
        expected = value.get("meta", {}).get("revision") or int(arguments.get("revision", 0))
        if expected and expected != objects[name]["meta"]["revision"]:
            return 409, objects[name]
        return 200, self.put(kind, name, {"status": value.get("status")} if status_part else {"spec": value.get("spec")})

    def put(self, kind, name, parts):
        before = self.objects.setdefault(kind, {}).get(name)
        new = {"meta": {"name": name, "created-rev": self.revision + 1, "finalizers": [], "delete-requested": False},
               "spec": {}, "status": {}} if before is None else json.loads(json.dumps(before))
        if before is not None and all(before.get(key) == value for key, value in parts.items()):
            return before
        new.update(parts)
        new["meta"]["revision"] = self.revision + 1
        self.objects[kind][name] = new
        self.note(kind, new, False)
        return new

    def note(self, kind, value, deleted):
        self.revision += 1
        self.events.append((self.revision, kind, value, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def watch(self, kind, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            due = [{"object": value, "deleted": gone} for at, of, value, gone in self.events if at > after and of == kind]
            left = end - time.monotonic()
            if due or left <= 0:
                return 200, {"events": due, "store-revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def configure(self, version, routes, services, limits=None):
        """The operator writes a version; returns the time of the acknowledgement."""
        spec = {"version": f"{version:08x}", "routes": routes,
                "services": [{"name": name, "max-conns": 130, "health": "/health"} for name in services],
                "limits": limits or {"header-bytes": 16384, "body-bytes": 1048576, "header-timeout-ms": 5000,
                                     "idle-timeout-ms": 15000}}
        self.put("config", "main", {"spec": spec})
        self.record.add(f"operator: version {version} acknowledged")
        return now()


class Server:
    """An application server beside a daemon."""

    def __init__(self, record, daemon, slots=9, work_ms=60):
        self.record = record
        self.daemon = daemon
        self.slots = slots
        self.work_ms = work_ms
        self.id = f"i-{daemon.name}-{random.randrange(16 ** 6):06x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.runs = []  # (time, id, method, path)
        self.beating = True

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.daemon.ip, self.daemon.app_port, limit=2 ** 22)
        self.task = asyncio.create_task(self.beat_on())

    async def beat_on(self):
        while self.beating:
            await self.beat()
            await asyncio.sleep(1.5)

    async def beat(self):
        self.sequence += 1
        body = {"service": self.daemon.service, "address": self.daemon.app_address, "zone": self.daemon.zone,
                "version": "v1", "slots": self.slots, "state": self.state, "warmup-left-ms": 0,
                "sequence": self.sequence, "born": self.born}
        try:
            return await asyncio.wait_for(
                exchange(self.daemon.ip, self.daemon.control_port, "PUT", f"/api/instances/{self.id}",
                         {"Host": "control", "Content-Type": "application/json"}, json.dumps(body).encode()), 1.0)
        except (asyncio.TimeoutError, OSError):
            return None

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                if not await self.handle(message, writer):
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def send(self, writer, status, fields, body=b""):
        rows = [f"HTTP/1.1 {status} X"] + [f"{key}: {value}" for key, value in fields.items()]
        writer.write(("\r\n".join(rows) + f"\r\nContent-Length: {len(body)}\r\nKeep-Alive: timeout=10\r\n\r\n").encode()
                     + body)

    async def handle(self, message, writer):
        line, fields, body = message
        method, path, _ = line.split(" ")
        identity = fields.get("cornelwell-try-id", "")
        echo = {"Cornelwell-Try-Id": identity}
        if path == "/health":
            self.send(writer, 200 if self.state == "ready" else 503, {"Cornelwell-Instance-Id": self.id})
            return True
        meant = fields.get("cornelwell-expect-instance", "")
        if meant and meant != self.id:
            self.send(writer, 421, {**echo, "Cornelwell-Not-Executed": "1"})
            return True
        if self.running >= self.slots:
            self.send(writer, 503, {**echo, "Cornelwell-Not-Executed": "1"})
            return True
        self.running += 1
        self.runs.append((now(), identity, method, path))
        self.record.add(f"{self.daemon.name} ({self.daemon.service}) runs {identity} {method} {path}")
        await asyncio.sleep(self.work_ms / 1000)
        self.running -= 1
        self.send(writer, 200, {**echo, "Cornelwell-Server-Seal": f"seal.{self.id}"},
                  f"{self.daemon.service} {path}\n".encode())
        await writer.drain()
        return True


async def exchange(ip, port, method, target, fields, body=b""):
    """One request on a new connection: (status, fields, body); (0, {}, b"") without a whole answer."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        rows = [f"{method} {target} HTTP/1.1"] + [f"{key}: {value}" for key, value in fields.items()]
        rows.append("Connection: close")
        if body or method in ("POST", "PUT"):
            rows.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(rows) + "\r\n\r\n").encode() + body)
        message = await read_message(reader)
        if message is None:
            return 0, {}, b""
        return int(message[0].split(" ")[1]), message[1], message[2]
    except (ConnectionError, ValueError):
        return 0, {}, b""
    finally:
        writer.close()


class Daemon:
    """A machine: the daemon's process, its settings file, and the addresses of its server."""

    def __init__(self, mesh, number, name, zone, service, store_address):
        self.mesh = mesh
        self.name = name
        self.zone = zone
        self.service = service
        self.ip = f"127.20.1.{number}"
        self.outbound_port, self.ready_port, self.control_port, self.app_port, self.inbound_port = (
            mesh.port(self.ip) for _ in range(5))
        self.link_port = free_port(self.ip, 16)
        self.app_address = f"{self.ip}:{self.app_port}"
        self.store_address = store_address
        self.settings = mesh.folder / f"{name}.json"
        self.log = open(mesh.folder / f"{name}.log", "ab")
        self.process = None
        self.write_settings()

    def write_settings(self):
        zones = {zone: "thies" for zone in ("thies-nord", "thies-centre", "thies-sud")}
        self.settings.write_text(json.dumps({
            "self": {"node-name": self.name, "role": "proxy", "machine-class": "sidecar", "serves": ["sidecar"],
                     "ip": self.ip, "zone": self.zone, "region": "thies", "loss-counts": False, "bootstrap": True,
                     "data-dir": None, "app-addr": self.app_address, "service": self.service,
                     "limits": {"cpu-share": 0.2, "cores": 1, "memory-mb": 260, "max-fds": 4100, "link-mbps": 1000.0,
                                "disk-mb": 0}},
            "network": {"listen-addrs": {"inbound": f"{self.ip}:{self.inbound_port}",
                                         "outbound": f"{self.ip}:{self.outbound_port}",
                                         "ready": f"{self.ip}:{self.ready_port}",
                                         "control": f"{self.ip}:{self.control_port}"},
                        "internal-ports": [self.link_port, self.link_port + 15], "seeds": [], "zones": zones},
            "platform": {"discovery": "static", "entry": "static", "heartbeat-interval-ms": 1500,
                         "platform": {"address": self.store_address, "form": "objects", "writes-per-s": 400,
                                      "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576,
                                      "ttl-min-ms": 1000}},
            "timers": {"contracts": ["base", "drain", "config", "cost", "retry", "recover", "platform"],
                       "tolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": self.mesh.bounds}}))

    async def start(self):
        variables = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        variables["CORNELWELL_CONFIG"] = str(self.settings)
        self.process = await asyncio.create_subprocess_exec(*PROGRAM, cwd=ROOT, env=variables, stdout=self.log,
                                                            stderr=self.log)

    def signal(self, number):
        self.process.send_signal(number)

    async def ready(self):
        try:
            status, _, _ = await asyncio.wait_for(
                exchange(self.ip, self.ready_port, "GET", "/api/ready", {"Host": "ready"}), 1.0)
            return status == 200
        except (asyncio.TimeoutError, OSError):
            return False

    async def request(self, identity, method, path, body=b"", limit_ms=1500, host="desk.example"):
        """A consumer's request: (status, fields, body); status 0 without a whole answer."""
        began = now()
        try:
            answer = await asyncio.wait_for(
                exchange(self.ip, self.outbound_port, method, path,
                         {"Host": host, "Cornelwell-Try-Id": identity, "Cornelwell-Deadline-Ms": limit_ms}, body),
                limit_ms / 1000 + 1)
        except (asyncio.TimeoutError, OSError):
            answer = (0, {}, b"")
        self.mesh.record.add(f"consumer at {self.name}: {identity} {method} {path} sent at {began:.3f} s: {answer[0]} "
                             f"{answer[2][:60].decode('latin-1').strip()}")
        return answer


class Mesh:
    """A small deployment, with the bounds of the site anrmh-mesh unless others are given."""

    def __init__(self, record, bounds=None):
        self.record = record
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.used = set()
        self.store = Store(record)
        self.daemons = []
        self.servers = []

    def port(self, ip):
        while (port := free_port(ip)) in self.used:
            pass
        self.used.add(port)
        return port

    def add(self, name, zone, service, store_address=None, **server):
        daemon = Daemon(self, len(self.daemons) + 1, name, zone, service, store_address or self.store.address)
        self.daemons.append(daemon)
        self.servers.append(Server(self.record, daemon, **server))
        return daemon

    async def start(self):
        if not (ROOT / PROGRAM[0]).exists():
            raise Broken("target/cornelwell is not built")
        await self.store.start()
        for daemon in self.daemons:
            await daemon.start()
        for server in self.servers:
            await server.start()

    async def wait_ready(self, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all([await daemon.ready() for daemon in self.daemons]):
                self.record.add("all daemons are ready")
                return
            await asyncio.sleep(0.1)
        raise Broken("the daemons do not get ready")

    async def stop(self):
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.returncode is None:
                daemon.process.kill()
                await daemon.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, service, timeout_ms=1500, attempts=2, **more):
    return {"name": name, "host": "desk.example", "path-prefix": prefix, "kind": kind, "timeout-ms": timeout_ms,
            "goal-ms": 500, "priority": 1, "max-attempts": attempts, "service": service, **more}


def run(folder, case):
    """Runs a case, a coroutine of (mesh, record) that returns the rule's breaks, and exits as a script has to."""
    record = Record(folder)

    async def whole():
        # Also when the case itself is ended, its processes are.
        main = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, main.cancel)
        mesh = Mesh(record)
        try:
            return await case(mesh, record)
        finally:
            await mesh.stop()

    try:
        breaks = asyncio.run(asyncio.wait_for(whole(), 110))
    except (Broken, OSError, asyncio.TimeoutError, asyncio.CancelledError) as error:
        record.add(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    for text in breaks:
        record.add(f"BROKEN: {text}")
        print(f"BROKEN: {text}")
    if not breaks:
        record.add("the rule held")
        print("the rule held")
    sys.exit(1 if breaks else 0)
