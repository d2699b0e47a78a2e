"""Stand-ins for the platform's store, targets and clients, and the start of node processes.

Only the standard library is used. All addresses are loopback addresses of a network of this run's own.
The stand-ins do what the platform's pages tell and nothing else: the store is linearizable and loses
nothing, targets report, drain and answer as a sound server does, clients send whole requests.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
NODE = os.path.join(ROOT, "target", "deploy", "fescueway-node")
TEMPLATE = os.path.join(ROOT, "deploy", "node.json.tmpl")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUN_LIMIT_S = 110


class CannotRun(Exception):
    """The case can't run here."""


class Record:
    """The record of a run: what was sent, answered and run, one JSON object a line."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, what, **fields):
        line = {"at_s": round(self.now(), 4), "what": what, **fields}
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()


# HTTP/1.1 -------------------------------------------------------------------------------------------


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, is_answer=False):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if is_answer else b""


def encode(first_line, headers, body):
    lines = [first_line] + [f"{name}: {value}" for name, value in headers.items()]
    if not any(name.lower() == "content-length" for name in headers):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, method, path, headers=None, body=b"", timeout=5.0):
    """One request on a new connection. Returns status, header fields and body; status 0 without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            sent = {"Host": "node", **(headers or {})}
            writer.write(encode(f"{method} {path} HTTP/1.1", sent, body))
            await writer.drain()
            line, fields = await read_head(reader)
            return int(line.split()[1]), fields, await read_body(reader, fields, True)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


class Server:
    """An HTTP server whose subclass has `async answer(method, path, query, headers, body)`."""

    def __init__(self, address):
        self.address = address
        self.server = None
        self.writers = set()
        self.tasks = set()

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    async def close(self):
        """Ends like a process: the port closes, and open connections are reset."""
        if self.server is None:
            return
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()
        self.server = None

    async def serve(self, reader, writer):
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _version = line.split(" ", 2)
                body = await read_body(reader, headers)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                answered = await self.answer(method, target, url.path, query, headers, body)
                if answered is None:
                    return
                status, fields, body = answered
                writer.write(encode(f"HTTP/1.1 {status} Status", fields, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.close()


# The platform's store -------------------------------------------------------------------------------


class Store(Server):
    """The platform's store: linearizable, with long polls, leases and transactions."""

    def __init__(self, address):
        super().__init__(address)
        self.revision = 7
        self.items = {}
        self.history = []
        self.leases = {}
        self.last_lease = 0
        self.changed = asyncio.Condition()
        self.is_down = False

    def item(self, key):
        return {"Key": key, **self.items[key]}

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get("Created", self.revision)
        self.items[key] = {
            "Value": value, "Revision": self.revision, "Created": created, "LeaseId": lease}
        self.history.append(self.item(key))

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append({"Key": key, "Revision": self.revision, "Deleted": True})

    async def write(self, key, value):
        """A write of the operator; it is acknowledged when this returns."""
        self.put(key, base64.b64encode(value.encode()).decode())
        await self.notify()

    def expire(self):
        now = time.monotonic()
        for lease in [lease for lease, (_, end) in self.leases.items() if end < now]:
            del self.leases[lease]
            for key in [key for key, item in self.items.items() if item["LeaseId"] == lease]:
                self.delete(key)

    async def answer(self, method, target, path, query, headers, body):
        if self.is_down:
            return 503, {}, b"{}"
        self.expire()
        status, value = await self.decide(method, path, query, json.loads(body or b"{}"))
        return status, {"Content-Type": "application/json"}, json.dumps(value).encode()

    async def decide(self, method, path, query, body):
        if path == "/v1/kv-key":
            key = query["Key"]
            if key not in self.items:
                return 404, {"At": self.revision}
            return 200, {**self.item(key), "At": self.revision}
        if path == "/v1/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query["Prefix"]))
            keys = [key for key in keys if key > query.get("after", "")]
            return 200, {"items": [self.item(key) for key in keys], "HasMore": False, "At": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(query["Prefix"], int(query["after"]), int(query["WaitMs"]) / 1000)
        if path == "/v1/kv-txn":
            return await self.transact(body)
        if path == "/v1/kv-lease":
            self.last_lease += 1
            ttl_ms = body["TtlMs"]
            self.leases[self.last_lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"LeaseId": self.last_lease, "TtlMs": ttl_ms}
        lease = path.rsplit("/", 1)[-1]
        if path.startswith("/v1/kv-keep/") and lease.isdigit():
            if int(lease) not in self.leases:
                return 404, {}
            ttl_ms, _ = self.leases[int(lease)]
            self.leases[int(lease)] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"TtlMs": ttl_ms}
        if path.startswith("/v1/kv-lease-end/") and lease.isdigit():
            self.leases[int(lease)] = (0, 0)
            self.expire()
            await self.notify()
            return 200, {}
        return 404, {}

    async def transact(self, body):
        for row in body.get("Expected", []):
            if self.items.get(row["Key"], {}).get("Revision", 0) != row["Revision"]:
                found = [self.item(row["Key"]) for row in body["Expected"] if row["Key"] in self.items]
                return 412, {"items": found}
        for row in body.get("Writes", []):
            if row.get("LeaseId", 0) and row["LeaseId"] not in self.leases:
                return 404, {}
        for row in body.get("Writes", []):
            self.put(row["Key"], row["Value"], row.get("LeaseId", 0))
        for key in body.get("Deletes", []):
            self.delete(key)
        await self.notify()
        return 200, {"Revision": self.revision}

    async def watch(self, prefix, after, wait_s):
        def found():
            return [event for event in self.history
                    if event["Revision"] > after and event["Key"].startswith(prefix)]
        try:
            async with asyncio.timeout(wait_s):
                async with self.changed:
                    await self.changed.wait_for(found)
        except TimeoutError:
            pass
        if self.is_down:
            return 503, {}
        return 200, {"events": found(), "At": self.revision}


# Targets --------------------------------------------------------------------------------------------


class Target(Server):
    """An application target: it runs requests, tells its health and reports to its machine's node."""

    def __init__(self, record, address, control, service, identity, work_s=0.02, slots=9, beat_s=1.5):
        super().__init__(address)
        self.record, self.control = record, control
        self.service, self.identity = service, identity
        self.work_s, self.slots, self.beat_s = work_s, slots, beat_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        self.beating = None

    async def start(self):
        await self.listen()
        self.record.write("target starts", service=self.service, id=self.identity, at=show(self.address))
        self.beating = asyncio.create_task(self.beat())

    async def crash(self):
        """Ends without a word."""
        self.beating.cancel()
        await self.close()
        self.record.write("target ends", service=self.service, id=self.identity)

    def beat_body(self):
        self.sequence += 1
        return json.dumps({
            "Address": show(self.address),
            "NodeInfo": {"Service": self.service, "Version": "v1", "Zone": "a",
                         "MaxConcurrency": self.slots},
            "Status": {"State": self.state, "Sequence": self.sequence, "WarmupLeftMs": 0},
            "born": self.born}).encode()

    async def report(self):
        status, _, _ = await call(self.control, "PUT", f"/v1/instances/{self.identity}",
                                  {"Content-Type": "application/json"}, self.beat_body(), 1.0)
        return 200 <= status < 300

    async def leave(self):
        body = json.dumps({"born": self.born}).encode()
        status, _, _ = await call(self.control, "DELETE", f"/v1/instances/{self.identity}",
                                  {"Content-Type": "application/json"}, body, 1.0)
        return 200 <= status < 300

    async def beat(self):
        while True:
            await self.report()
            await asyncio.sleep(self.beat_s)

    def load(self):
        return {"X-Fescueway-Instance-Id": self.identity,
                "X-Fescueway-Server-Load": f"1,0,{self.slots},100"}

    async def answer(self, method, target, path, query, headers, body):
        if path == "/health":
            return (200 if self.state == "ready" else 503), self.load(), b""
        attempt = headers.get("x-fescueway-attempt-id", "")
        expected = headers.get("x-fescueway-expect-instance", self.identity)
        fields = {**self.load(), "X-Fescueway-Attempt-Id": attempt}
        if expected != self.identity:
            return 421, {**fields, "X-Fescueway-Not-Executed": "1"}, b""
        run = {"attempt": attempt, "service": self.service, "target": self.identity,
               "request": f"{method} {target}",
               "caller_service": headers.get("x-fescueway-caller-service"),
               "tenant": headers.get("x-fescueway-tenant"), "key": headers.get("x-api-key"),
               "arrived": time.monotonic()}
        self.runs.append(run)
        self.record.write("run", **{name: run[name] for name in run if name != "arrived"})
        await asyncio.sleep(self.work_s)
        return 200, {**fields, "X-Fescueway-Response-Seal": "3e1b.07"}, f"ran {attempt}".encode()


# Nodes ----------------------------------------------------------------------------------------------


def show(address):
    return f"{address[0]}:{address[1]}"


def render(template, fields, entry=None):
    """Fills in the placeholders and sections that the template of the settings uses."""

    def look_up(name):
        if name == ".":
            return entry
        value = fields
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        value = look_up(match[1])
        if isinstance(value, list):
            return "".join(render(match[2], fields, item) for item in value)
        return render(match[2], fields, entry) if value else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)

    def value(match):
        found = look_up(match[1])
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


class Machine:
    """A machine: a node process, the address of its target, and the settings file."""

    def __init__(self, world, number, zone, service, bounds=None, contracts=()):
        self.world = world
        ip = f"{world.network}.{number}"
        self.ports = {name: (ip, free_port(ip)) for name in
                      ("outbound", "ready", "control", "peers", "app")}
        self.ip, self.zone, self.service = ip, zone, service
        self.name = f"machine-{number}"
        self.bounds, self.contracts = bounds or {}, list(contracts)
        self.settings = os.path.join(world.folder, f"{self.name}.json")
        self.log = open(os.path.join(world.folder, f"{self.name}.log"), "ab")
        self.process = None
        self.write_settings()

    def write_settings(self):
        """The platform places the settings, at every start and whenever they change."""
        ports = self.ports
        fields = {
            "Region": "north", "Zone": self.zone, "Ip": self.ip, "Service": self.service,
            "InternalPorts": [ports["peers"][1]], "AppAddr": show(ports["app"]),
            "Listen": {"Outbound": show(ports["outbound"]), "Control": show(ports["control"]),
                       "Ready": show(ports["ready"])},
            "Provider": {"Address": show(self.world.store.address)},
            "Contracts": self.contracts,
            "Bounds": {"GraceS": 6, "RetryBudgetSlack": 62, **self.bounds}}
        with open(TEMPLATE, encoding="utf-8") as template:
            text = template.read()
        text = text.replace("{{InternalPorts.0}}", str(ports["peers"][1]))
        with open(self.settings, "w", encoding="utf-8") as settings:
            settings.write(render(text, fields))

    def start(self):
        self.process = subprocess.Popen(
            [NODE, "--settings", self.settings], cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=self.log, stderr=self.log, env={"PATH": os.environ.get("PATH", ""),
                                                   "HOME": self.world.folder})
        self.world.record.write("node starts", machine=self.name, service=self.service)

    def send(self, number):
        self.process.send_signal(number)
        self.world.record.write("signal", machine=self.name, signal=signal.Signals(number).name)

    def kill(self):
        self.send(signal.SIGKILL)
        self.process.wait()

    async def is_ready(self):
        status, _, _ = await call(self.ports["ready"], "GET", "/ready", timeout=1.0)
        return status == 200

    async def request(self, method, host, path, headers=None, body=b"", deadline_ms=2000, key=None):
        """A request of a client on this machine, with an id of its own."""
        world = self.world
        world.last_attempt += 1
        attempt = f"{world.last_attempt:016x}"
        fields = {"Host": host, "X-Fescueway-Attempt-Id": attempt,
                  "X-Fescueway-Deadline-Ms": str(deadline_ms), **(headers or {})}
        if key is not None:
            fields["X-Api-Key"] = key
        sent = time.monotonic()
        world.record.write("sent", attempt=attempt, machine=self.name, request=f"{method} {path}", key=key)
        status, got, answer = await call(self.ports["outbound"], method, path, fields, body,
                                         deadline_ms / 1000 + 1)
        world.record.write("answered", attempt=attempt, status=status,
                           sealed="x-fescueway-response-seal" in got)
        return {"attempt": attempt, "sent": sent, "status": status, "headers": got, "body": answer,
                "key": key}


# Below the range from which the kernel takes the ports of connections.
PORTS = iter(range(20_000, 30_000))


def free_port(ip):
    """A port that is free for TCP and UDP, and that this run uses nowhere else."""
    for port in PORTS:
        try:
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp:
                tcp.bind((ip, port))
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                udp.bind((ip, port))
            return port
        except OSError:
            continue
    raise CannotRun("no free port")


class World:
    """One run: a store, machines and targets, and a record."""

    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="fescueway-case-")
        pid = os.getpid()
        self.network = f"127.{64 + (pid >> 8 & 0x7f)}.{pid & 0xff}"
        self.store = Store((f"{self.network}.250", free_port(f"{self.network}.250")))
        self.machines, self.targets = [], []
        self.last_attempt = (pid << 24) + 1

    def machine(self, zone, service, **options):
        machine = Machine(self, len(self.machines) + 1, zone, service, **options)
        self.machines.append(machine)
        return machine

    async def target(self, machine, service, identity, **options):
        ports = machine.ports
        target = Target(self.record, ports["app"], ports["control"], service, identity, **options)
        self.targets.append(target)
        await target.start()
        return target

    async def configure(self, document):
        """The operator writes a configuration. Returns the time of the ack."""
        await self.store.write("op/config", json.dumps(document))
        self.record.write("config acked", version=document["Version"])
        return time.monotonic()

    async def until(self, what, condition, limit_s=20.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await condition():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"not within {limit_s} s: {what}")

    def runs(self):
        return [run for target in self.targets for run in target.runs]

    async def close(self):
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
            machine.log.close()
        for target in self.targets:
            if target.beating is not None:
                target.beating.cancel()
            await target.close()
        await self.store.close()


def document(version, routes, services, tenants=None):
    """A configuration of the operator, by name."""
    found = {
        "Version": version,
        "Routes": routes,
        "Services": {name: {"HealthPath": "/health", "MaxConnections": 260, "Protocol": "h1",
                            "Tls": False} for name in services},
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000}}
    if tenants is not None:
        found["Tenants"] = tenants
    return found


def route(host, prefix, service, kind="idempotent", timeout_ms=2000, **fields):
    return {"Host": host, "Prefix": prefix, "Kind": kind, "TimeoutMs": timeout_ms, "AimMs": 500,
            "Priority": 1, "Service": service, "MaxAttempts": 2, **fields}


def run_case(folder, play):
    """Plays a case. `play(world)` returns the broken rules as lines. Ends the process: 10 if a rule was
    broken, 0 if all held, 2 if the case couldn't run. 1 is left to the interpreter."""

    async def main():
        world = World(folder)
        try:
            await world.store.listen()
            async with asyncio.timeout(RUN_LIMIT_S):
                return await play(world), world
        finally:
            await world.close()

    if not os.access(NODE, os.X_OK):
        print(f"not built: {os.path.relpath(NODE, ROOT)}")
        sys.exit(2)
    try:
        broken, world = asyncio.run(main())
    except Exception as error:  # Any other failure is one of the case, not of the rule.
        print(f"couldn't run: {error!r}")
        sys.exit(2)
    shutil.rmtree(world.folder, ignore_errors=True)
    for line in broken:
        world.record.write("broken", line=line)
        print(line)
    print("broken" if broken else "held", "with the disruption" if TROUBLE else "without the disruption")
    sys.exit(10 if broken else 0)
