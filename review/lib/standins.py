"""Stand-ins of the platform for the scripts of this review: store, replicas, clients and daemon processes.

They follow the published protocol and use only the standard library. Everything listens on loopback addresses.
"""

import asyncio
import base64
import itertools
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
from urllib.parse import parse_qsl, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 503: "Service Unavailable"}


class Record:
    """Writes what was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")


class Stdout:
    """Stands for a record in a process whose output another one records."""

    def write(self, text):
        pass


# Below the range from which the system takes ports for outgoing connections.
_ports = itertools.count(10000 + os.getpid() * 97 % 20000)


def free_port():
    """A port that is free for TCP and UDP on 127.0.0.1; each call gives another one."""
    while True:
        port = 10000 + next(_ports) % 20000
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


# --- HTTP/1.1 ---------------------------------------------------------------------------------------------------------

async def read_head(reader):
    """Reads the head of a message; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads the whole body of a message that has a length or comes in chunks."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        parts = []
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                raise asyncio.IncompleteReadError(line, None)
            size = int(line.split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return b"".join(parts)
            parts.append(part[:-2])
    return await reader.readexactly(int(headers.get("content-length", 0)))


def answer(status, body=b"", headers=()):
    """A whole answer with a length."""
    head = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", f"Content-Length: {len(body)}"]
    head += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


def json_answer(status, value):
    return answer(status, json.dumps(value).encode(), [("Content-Type", "application/json")])


# --- Store ------------------------------------------------------------------------------------------------------------

class Store:
    """The platform's metadata store: items, ranges, watches, transactions and leases."""

    PAGE = 500

    def __init__(self, record=None):
        self.items = {}
        self.history = []
        self.revision = 100
        self.leases = {}
        self.lease_ids = itertools.count(77001)
        self.changed = asyncio.Condition()
        self.record = record
        self.servers = []

    async def listen(self, view=None):
        """Opens another address of the store. `view` may change the value of an item for those who read it here."""
        server = await asyncio.start_server(
            lambda r, w: self.serve(r, w, view or (lambda key, value: value)), "127.0.0.1", 0, limit=1 << 22)
        self.servers.append(server)
        if len(self.servers) == 1:
            asyncio.ensure_future(self.expire())
        return server.sockets[0].getsockname()[1]

    def _write(self, key, value, lease=0):
        self.revision += 1
        old = self.items.get(key)
        item = {"key": key, "value": value, "revision": self.revision,
                "created": old["created"] if old else self.revision, "lease": lease}
        self.items[key] = item
        self.history.append(item)

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append({"key": key, "revision": self.revision, "tombstone": True})

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key, value):
        """Writes an item as the operator or a replica does; returns when the store has acknowledged it."""
        self._write(key, json.dumps(value).encode())
        await self.notify()

    async def remove(self, key):
        self._remove(key)
        await self.notify()

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease in [i for i, (_, end) in self.leases.items() if end <= time.monotonic()]:
                self.end_lease(lease)
                await self.notify()

    def end_lease(self, lease):
        known = self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self._remove(key)
        return known is not None

    async def serve(self, reader, writer, view):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                writer.write(await self.call(method, target, body, view))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def call(self, method, target, body, view):
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query))

        def encode(item):
            if "tombstone" in item:
                return item
            value = view(item["key"], item["value"])
            return {**item, "value": base64.b64encode(value).decode()}

        if parts.path == "/api/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return json_answer(404, {"current_rev": self.revision})
            return json_answer(200, {**encode(item), "current_rev": self.revision})
        if parts.path == "/api/kv-range":
            prefix, after = query.get("path_prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [encode(self.items[k]) for k in keys[:self.PAGE]]
            return json_answer(200, {"items": page, "more_pages": len(keys) > self.PAGE, "current_rev": self.revision})
        if parts.path == "/api/kv-watch":
            return await self.watch(query, encode)
        if parts.path == "/api/kv-txn":
            return await self.commit(json.loads(body), encode)
        if parts.path == "/api/kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            lease = next(self.lease_ids)
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1e3)
            return json_answer(200, {"lease": lease, "ttl_ms": ttl})
        name, _, number = parts.path.rpartition("/")
        if name == "/api/kv-keep":
            known = self.leases.get(int(number))
            if known is None:
                return json_answer(404, {})
            self.leases[int(number)] = (known[0], time.monotonic() + known[0] / 1e3)
            return json_answer(200, {"ttl_ms": known[0]})
        if name == "/api/kv-lease-end":
            known = self.end_lease(int(number))
            await self.notify()
            return json_answer(200 if known else 404, {})
        return json_answer(404, {})

    async def watch(self, query, encode):
        prefix, after = query.get("path_prefix", ""), int(query["after"])
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1e3
        while True:
            events = [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return json_answer(200, {"events": [encode(e) for e in events], "current_rev": self.revision})
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def commit(self, txn, encode):
        expected = txn.get("expected_rev", [])
        current = lambda key: self.items[key]["revision"] if key in self.items else 0
        if any(current(row["key"]) != row["revision"] for row in expected):
            found = [encode(self.items[row["key"]]) for row in expected if row["key"] in self.items]
            return json_answer(412, {"items": found, "current_rev": self.revision})
        writes = txn.get("writes", [])
        if any(row.get("lease") and row["lease"] not in self.leases for row in writes):
            return json_answer(404, {})
        for row in writes:
            self._write(row["key"], base64.b64decode(row["value"]), row.get("lease") or 0)
        for key in txn.get("remove", []):
            self._remove(key)
        await self.notify()
        if self.record:
            self.record.write(f"store: transaction on {', '.join(r['key'] for r in writes)} at revision {self.revision}")
        return json_answer(200, {"revision": self.revision})


# --- Daemons ----------------------------------------------------------------------------------------------------------

BOUNDS = {"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000, "rollback_slack_ms": 250,
          "retry_budget": 0.2, "budget_window_s": 10, "retry_slack": 58, "lease_ms": 3000,
          "ceiling_window_s": 5, "ceiling_overage": 1.1, "require_fence": True}


def fill(template, fields):
    """Fills the settings' template as the platform does (sections, inverted sections and values)."""

    def find(path):
        value = fields
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else (value or {}).get(part)
        return value

    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)
    while (found := section.search(template)) is not None:
        kind, path, inner = found.groups()
        shown = bool(find(path)) == (kind == "#")
        template = template[:found.start()] + (inner if shown else "") + template[found.end():]
    text = lambda found: "" if find(found.group(1)) is None else str(find(found.group(1)))
    return re.sub(r"\{\{([\w.]+)\}\}", text, template)


class Daemon:
    """A daemon in a process of its own, started by the command of the deploy file."""

    def __init__(self, folder, name, store_port, memory_mb=260, ip="127.0.0.1", bounds=None):
        self.name, self.ip = name, ip
        self.front, self.ready, self.peers = free_port(), free_port(), free_port()
        fields = {
            "node": name, "zone": "hall-a", "ip": ip,
            "listen": {"front": f"{ip}:{self.front}", "ready": f"{ip}:{self.ready}"},
            "port_range": [self.peers, self.peers], "provider": {"address": f"127.0.0.1:{store_port}"},
            "heartbeat_ms": 1200, "bounds": {**BOUNDS, **(bounds or {})},
            "limits": {"max_fds": 4100, "memory_mb": memory_mb, "cpu_share": 0.25},
        }
        with open(os.path.join(ROOT, "deploy", "settings.ini")) as file:
            text = fill(file.read(), fields)
        # Several daemons of one machine can't share the port of the figures.
        text = re.sub(r"(?m)^metrics = .*$", f"metrics = {ip}:{free_port()}", text)
        self.settings = os.path.join(folder, f"{name}.ini")
        with open(self.settings, "w") as file:
            file.write(text)
        self.log = os.path.join(folder, f"{name}.log")
        self.process = None

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
            run = re.search(r'(?m)^run = "([^"]+)"', file.read()).group(1).split(" ")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        self.process = subprocess.Popen(
            run, cwd=ROOT, env={**environment, "COVEFORD_SETTINGS": self.settings},
            stdin=subprocess.DEVNULL, stdout=open(self.log, "ab"), stderr=subprocess.STDOUT)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def resident_mb(self):
        """Resident memory of the process in MB; 0 if it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/statm") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
        except (OSError, IndexError, ValueError):
            return 0.0

    def stop(self):
        if self.process:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()

    async def until_ready(self, limit=20):
        """Waits until it answers 200 as the platform asks it for readiness."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
        except OSError:
            return False
        try:
            writer.write(f"GET /api/ready HTTP/1.1\r\nHost: {self.ip}\r\n\r\n".encode())
            head = await asyncio.wait_for(read_head(reader), 1)
            return head is not None and " 200 " in head[0] + " "
        except (asyncio.TimeoutError, ConnectionError):
            return False
        finally:
            writer.close()


# --- Configuration ----------------------------------------------------------------------------------------------------

def route(name, kind, service, **more):
    return {"name": f"r-{name}", "host": "site.example", "path_prefix": f"/{name}/", "kind": kind, "timeout_ms": 15000,
            "target_latency_ms": 1000, "priority": 1, "service": service, "max_attempts": 1, **more}


def engine(models, **more):
    return {"slots": 64, "kv_capacity": 145945, "kv_token_bytes": 163840, "link_mbps": 280000.0, "moves": True,
            "backups": True, "stride": 2, "cap": 12, "host_mb": 140000.0, "disk_mb": 400000.0, "pin_ms": 4000.0,
            "hold_ms": 2000.0, "handle_s": 5.0, "mb": 200000.0, "max_adapters": 8, "loads_per_s": 1.4,
            "models": [{"name": m, "mb": 65100.0, "load_s": 7.8, "adapters": 0, "adapter_mb": 12.0, "warm_s": 1.2,
                        "disk_s": 1.6} for m in models], **more}


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


# --- Replicas ---------------------------------------------------------------------------------------------------------

class Replica:
    """A replica: takes requests and calls on a port of its own. `run(self, request, writer)` answers a request."""

    def __init__(self, record, identity, service, run, models=(), slots=64):
        self.record, self.identity, self.service, self.run = record, identity, service, run
        self.models, self.slots = list(models), slots
        self.sequence = 1
        self.runs = {}
        self.orders = []
        self.busy, self.load_s, self.store = False, 7.8, None
        self.port = None

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, **more):
        models = [{"name": m, "version": 1, "adapters": []} for m in self.models]
        entry = {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "hall-a", "version": "v1",
                 "slots": self.slots, "state": "ready", "cold_remaining_ms": 0, "stage": "unified",
                 "models": models, "sequence": self.sequence}
        return {**entry, **more}

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                method, target, _ = line.split(" ")
                body = await read_body(reader, headers)
                expected = headers.get("expect-instance")
                if expected not in (None, self.identity):
                    writer.write(answer(421, headers=[("Instance-Id", self.identity), ("Not-Executed", "1")]))
                elif target == "/api/report":
                    models = [{"name": m, "version": 1, "adapters": []} for m in self.models]
                    writer.write(json_answer(200, {"stage": "unified", "models": models, "busy": self.busy,
                                                   "sequence": len(self.orders), "queued": 0, "running": 0, "kv_used": 0,
                                                   "kv_total": 145945, "handles": 0}))
                elif target == "/api/order":
                    writer.write(self.order(json.loads(body)))
                elif target == "/health":
                    writer.write(answer(200, headers=[("Instance-Id", self.identity)]))
                else:
                    await self.respond((method, target, headers, body), writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def respond(self, request, writer):
        """Answers a request of a client."""
        identity = request[2].get("request-id", "-")
        self.runs[identity] = self.runs.get(identity, 0) + 1
        self.record.write(f"{self.identity} ({self.service}) runs {identity}, {len(request[3])} bytes")
        await self.run(self, request, writer)

    def order(self, order):
        """Takes an order, and carries it out after the time that a load from the weight store takes."""
        self.record.write(f"{self.identity} gets the order {json.dumps(order)}")
        loads, model = order["operation"] == "load", order["model"]
        if order.get("expected_rev", len(self.orders)) != len(self.orders) or self.busy:
            return json_answer(409, {})
        if loads == (model in self.models):
            return json_answer(200, {})
        self.orders.append(order)
        self.busy = True
        asyncio.ensure_future(self.carry_out(loads, model))
        return json_answer(202, {})

    async def carry_out(self, loads, model):
        if not loads:
            self.models.remove(model)
        await asyncio.sleep(self.load_s if loads else 0.1)
        if loads:
            self.models.append(model)
        self.busy = False
        self.sequence += 1
        if self.store:
            await self.store.put(f"servers/{self.identity}", self.entry())

    def stamp(self, headers):
        return [("Request-Id", headers.get("request-id", "-")), ("Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1")]


# --- Clients ----------------------------------------------------------------------------------------------------------

class Client:
    """A client with one kept connection."""

    def __init__(self, record, port, ip="127.0.0.1"):
        self.record, self.port, self.ip = record, port, ip
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(self.ip, self.port, limit=1 << 22)

    async def send(self, method, path, identity, body=b"", chunked=False, headers=(), deadline_ms=15000):
        """Sends one request; returns the status and the whole body, or None if the connection ends without an answer."""
        lines = [f"{method} {path} HTTP/1.1", "Host: site.example", f"Request-Id: {identity}",
                 f"Deadline-Ms: {deadline_ms}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append("Transfer-Encoding: chunked" if chunked else f"Content-Length: {len(body)}")
        try:
            self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            if chunked:
                for start in range(0, len(body), 65536):
                    part = body[start:start + 65536]
                    self.writer.write(f"{len(part):x}\r\n".encode() + part + b"\r\n")
                    await self.writer.drain()
                self.writer.write(b"0\r\n\r\n")
            else:
                self.writer.write(body)
            await self.writer.drain()
            head = await read_head(self.reader)
            if head is None:
                return None
            status = int(head[0].split(" ")[1])
            return status, head[1], await read_body(self.reader, head[1])
        except (ConnectionError, asyncio.IncompleteReadError):
            return None

    def close(self):
        if self.writer:
            self.writer.close()


# A script runs for 120 s at most.
TIME_LIMIT_S = 112


def run_case(folder, case):
    """Runs `case(record, work folder, trouble, daemons)`, which returns True if the rule held, and ends the process."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    daemons = []
    work = tempfile.mkdtemp(prefix="coveford-review-")

    def end(held):
        for daemon in daemons:
            daemon.stop()
        shutil.rmtree(work, ignore_errors=True)
        status = {True: 0, False: 1, None: 2}[held]
        record.write(f"exit status {status}")
        # Connections and tasks that are still open need no orderly end.
        os._exit(status)

    def give_up(why):
        record.write(f"the case could not run: {why}")
        end(None)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda received, _: give_up(f"signal {received}"))
    watchdog = threading.Timer(TIME_LIMIT_S, give_up, [f"it took over {TIME_LIMIT_S} s"])
    watchdog.daemon = True
    watchdog.start()
    loop = asyncio.new_event_loop()
    # Connections that are open at the end are cut on purpose.
    loop.set_exception_handler(lambda *_: None)
    try:
        held = loop.run_until_complete(case(record, work, trouble, daemons))
    except Exception as error:  # noqa: BLE001: whatever keeps the case from running
        give_up(f"{type(error).__name__}: {error}")
    end(held)
