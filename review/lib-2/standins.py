"""Stand-ins for the cases of the second review: the platform's store, daemons as processes, and a client.

All addresses are loopback addresses. Only Python's standard library is used.
"""

import asyncio
import base64
import itertools
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

LOOPBACK = "127.0.0.1"
ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
DAEMON = os.path.join(ROOT, "target", "release", "covefordd")

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2

# A case runs for 120 seconds at most.
MAX_SECONDS = 110


given_out = set()


def free_ports(count):
    """Ports that are free for TCP and UDP, each given out once."""
    found, held = [], []
    while len(found) < count:
        tcp = socket.socket()
        tcp.bind((LOOPBACK, 0))
        port = tcp.getsockname()[1]
        if port in given_out:
            tcp.close()
            continue
        given_out.add(port)
        udp = socket.socket(type=socket.SOCK_DGRAM)
        try:
            udp.bind((LOOPBACK, port))
            found.append(port)
        except OSError:
            pass
        held += [tcp, udp]
    for sock in held:
        sock.close()
    return found


class Record:
    """What was sent, answered and run, as lines with the seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, text):
        line = f"{time.monotonic() - self.start:8.3f}  {text}"
        self.file.write(line + "\n")
        self.file.flush()


async def read_head(reader):
    """First line and header fields (names in lower case) of a message; none at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """Body of a message that has a length or chunks."""
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                await reader.readline()
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(fields.get("content-length", "0")))


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it, without a limit on calls."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self.leases = {}
        self.lease_numbers = itertools.count(7_001)
        self.changed = asyncio.Event()
        self.delay = {}
        self.on_txn = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.expiry = asyncio.create_task(self.expire())

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append(item)
        self.notify()
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.history.append({"key": key, "revision": self.revision, "tombstone": True})
            self.notify()

    def value(self, key):
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [n for n, (_, until) in self.leases.items() if until <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        existed = self.leases.pop(lease, None) is not None
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)
        return existed

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                line, fields = head
                method, target, _ = line.split(" ")
                body = await read_body(reader, fields)
                status, answer = await self.answer(method, target, body)
                text = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        args = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        data = json.loads(body) if body else {}
        if path == "/api/kv-key":
            item = self.items.get(args["key"])
            return (200, {**item, "current_rev": self.revision}) if item else (404, {"current_rev": self.revision})
        if path == "/api/kv-range":
            keys = sorted(k for k in self.items if k.startswith(args.get("path_prefix", "")) and k > args.get("after", ""))
            items = [self.items[k] for k in keys[:500]]
            return 200, {"items": items, "more_pages": len(keys) > 500, "current_rev": self.revision}
        if path == "/api/kv-watch":
            return await self.watch(args)
        if path == "/api/kv-txn":
            return self.commit(data)
        if path == "/api/kv-lease":
            lease = next(self.lease_numbers)
            self.leases[lease] = (data["ttl_ms"] / 1e3, time.monotonic() + data["ttl_ms"] / 1e3)
            return 200, {"lease": lease, "ttl_ms": data["ttl_ms"]}
        name, _, number = path.rpartition("/")
        if name == "/api/kv-keep":
            if int(number) not in self.leases:
                return 404, {}
            ttl = self.leases[int(number)][0]
            self.leases[int(number)] = (ttl, time.monotonic() + ttl)
            return 200, {"ttl_ms": int(ttl * 1e3)}
        if name == "/api/kv-lease-end":
            return (200 if self.end_lease(int(number)) else 404), {}
        return 404, {}

    async def watch(self, args):
        after, until = int(args["after"]), time.monotonic() + int(args["wait_ms"]) / 1e3
        while True:
            changed = self.changed
            events = [e for e in self.history if e["revision"] > after and e["key"].startswith(args["path_prefix"])]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def commit(self, data):
        expected = data.get("expected_rev", [])
        known = {row["key"]: self.items.get(row["key"], {"revision": 0})["revision"] for row in expected}
        if any(known[row["key"]] != row["revision"] for row in expected):
            items = [self.items[row["key"]] for row in expected if row["key"] in self.items]
            return 412, {"items": items}
        if any(w.get("lease", 0) and w["lease"] not in self.leases for w in data.get("writes", [])):
            return 404, {}
        for write in data.get("writes", []):
            self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
        for key in data.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class View:
    """The store as one daemon sees it: each replica stands there under the address of a link of this daemon."""

    def __init__(self, store, links):
        self.store, self.links = store, links

    async def start(self):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        await Store.serve(self, reader, writer)

    async def answer(self, method, target, body):
        status, answer = await self.store.answer(method, target, body)
        if "key" in answer:
            answer = self.rewrite(answer)
        for rows in ("items", "events"):
            if rows in answer:
                answer = {**answer, rows: [self.rewrite(row) for row in answer[rows]]}
        return status, answer

    def rewrite(self, item):
        link = self.links.get(item["key"].removeprefix("servers/"))
        if link is None or "value" not in item:
            return item
        value = json.loads(base64.b64decode(item["value"]))
        value["address"] = f"{LOOPBACK}:{link.port}"
        return {**item, "value": base64.b64encode(json.dumps(value).encode()).decode()}


class Link:
    """A path from one daemon to a replica or to the store, as a proxy that can be cut."""

    def __init__(self, target):
        self.target, self.open, self.silent = target, set(), set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            onward_reader, onward_writer = await asyncio.open_connection(LOOPBACK, self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, onward_writer)
        self.open.add(pair)
        await asyncio.gather(self.pump(reader, onward_writer, pair), self.pump(onward_reader, writer, pair))
        self.open.discard(pair)

    async def pump(self, reader, writer, pair):
        try:
            while data := await reader.read(65536):
                if pair not in self.silent:
                    writer.write(data)
                    await writer.drain()
            if pair not in self.silent:
                writer.close()
        except (ConnectionError, asyncio.CancelledError):
            writer.transport.abort()

    def silence(self):
        """Open connections carry nothing any more, for good and without a reset; new ones work."""
        self.silent |= self.open

    def cut(self):
        """Resets open connections and refuses new ones."""
        self.server.close()
        for pair in self.open:
            for writer in pair:
                writer.transport.abort()


def route(name, prefix, kind, service, attempts=1, timeout_ms=8000, target_ms=1000, **more):
    return {
        "name": name,
        "host": "site.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": target_ms,
        "priority": 1,
        "service": service,
        "max_attempts": attempts,
        "sticky": False,
        **more,
    }


def configuration(version, routes, services):
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def plain_service(name):
    return {"name": name, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": False}


def entry(service, port, zone="hall-a", slots=6, state="ready", sequence=1, born=None, **more):
    value = {
        "service": service,
        "address": f"{LOOPBACK}:{port}",
        "zone": zone,
        "version": "v1",
        "slots": slots,
        "state": state,
        "cold_remaining_ms": 0,
        "sequence": sequence,
        **more,
    }
    if born is not None:
        value["born"] = born
    return value


class Processes:
    """Processes that the case started; all are ended by their ids."""

    def __init__(self):
        self.all = []

    def start(self, command, **options):
        process = subprocess.Popen(command, stdin=subprocess.DEVNULL, **options)
        self.all.append(process)
        return process

    def end(self):
        for process in self.all:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.all:
            process.wait()


class Daemon:
    """A daemon, started as the deploy file says."""

    def __init__(self, processes, folder, name, zone, store_port, bounds=None):
        self.processes, self.name = processes, name
        self.port, self.ready_port, self.metrics_port, self.peers_port = free_ports(4)
        self.settings = os.path.join(folder, f"{name}.ini")
        self.log = os.path.join(folder, f"{name}.log")
        values = {
            "grace_seconds": 8,
            "lease_ms": 3000,
            "configuration_ms": 2000,
            "leaving_ms": 2000,
            "heartbeat_ms": 1200,
            "retry_share": 0.2,
            "retry_slack": 58,
            "retry_window_seconds": 10,
            "load_window_seconds": 5,
            "load_overage": 1.1,
            **(bounds or {}),
        }
        lines = "".join(f"{k} = {v}\n" for k, v in values.items())
        with open(self.settings, "w") as file:
            file.write(
                f"[daemon]\nname = {name}\nhall = {zone}\ncallers = {LOOPBACK}:{self.port}\n"
                f"readiness = {LOOPBACK}:{self.ready_port}\nmetrics = {LOOPBACK}:{self.metrics_port}\n"
                f"peers = {LOOPBACK}:{self.peers_port}\n\n[store]\naddress = {LOOPBACK}:{store_port}\n\n"
                f"[bounds]\n{lines}\n[limits]\ndescriptors = 4100\nmemory_mb = 260\ncores = 0.25\n\n"
                f"[log]\nlevel = info\n"
            )

    def start(self):
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["COVEFORD_SETTINGS"] = self.settings
        with open(self.log, "ab") as log:
            self.process = self.processes.start(["target/release/covefordd"], cwd=ROOT, env=environment, stdout=log, stderr=log)

    async def wait_ready(self, limit=15):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            try:
                answer = await request(self.ready_port, "GET", "/api/ready", {}, limit=1)
                if answer.status == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} is not ready")


class Answer:
    def __init__(self, status=None, fields=None, body=b"", whole=False, why=""):
        self.status, self.fields, self.body, self.whole, self.why = status, fields or {}, body, whole, why

    def __str__(self):
        state = "whole" if self.whole else f"not whole ({self.why})"
        return f"status {self.status}, {len(self.body)} bytes, {state}"


async def request(port, method, path, fields, body=b"", limit=10.0, connection=None):
    """Sends a request on a connection of its own and reads the answer as HTTP/1.1 frames it."""
    reader, writer = connection or await asyncio.open_connection(LOOPBACK, port)
    answer = Answer(why="no head")
    try:
        head = f"{method} {path} HTTP/1.1\r\nHost: site.example\r\n"
        head += "".join(f"{k}: {v}\r\n" for k, v in fields.items())
        if body or method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        writer.write(head.encode() + b"\r\n" + body)
        await asyncio.wait_for(read_answer(reader, answer, method), limit)
    except asyncio.TimeoutError:
        answer.why = "the client gave up"
    except (ConnectionError, asyncio.IncompleteReadError, ValueError) as error:
        answer.why = type(error).__name__
    finally:
        if connection is None:
            writer.close()
    return answer


async def read_answer(reader, answer, method="GET"):
    while True:
        head = await read_head(reader)
        if head is None:
            return
        answer.status = int(head[0].split(" ")[1])
        answer.fields = head[1]
        if answer.status >= 200:
            break
    answer.why = "the body broke off"
    if method == "HEAD" or answer.status in (204, 304):
        answer.whole = True
        return
    if "chunked" in answer.fields.get("transfer-encoding", ""):
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                return
            size = int(line.split(b";")[0], 16)
            if size == 0:
                await reader.readline()
                answer.whole = True
                return
            left = size
            while left:
                data = await reader.read(left)
                if not data:
                    return
                answer.body += data
                left -= len(data)
            await reader.readexactly(2)
    if "content-length" in answer.fields:
        left = int(answer.fields["content-length"])
        while left:
            data = await reader.read(left)
            if not data:
                return
            answer.body += data
            left -= len(data)
        answer.whole = True
        return
    while data := await reader.read(65536):
        answer.body += data
    answer.whole = True


def run_case(case):
    """Runs a case and exits with its verdict: `case(folder, record, processes, trouble)` says what broke, if anything."""
    here = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record, processes = Record(here), Processes()
    folder = tempfile.mkdtemp(prefix="review-")
    verdict = COULD_NOT_RUN
    try:
        if not os.path.exists(DAEMON):
            raise RuntimeError("target/release/covefordd is missing: run the build of the deploy file first")
        loop = asyncio.new_event_loop()
        # Connections that are cut on purpose end their tasks with errors.
        loop.set_exception_handler(lambda *_: None)
        broken = loop.run_until_complete(asyncio.wait_for(case(folder, record, processes, trouble), MAX_SECONDS))
        verdict = BROKEN if broken else HELD
        record(f"verdict: {'the rule was broken: ' + broken if broken else 'the rule held'}")
    except Exception as error:
        record(f"the case could not run: {type(error).__name__}: {error}")
    finally:
        processes.end()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(folder, keep, dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
    print({HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}[verdict], flush=True)
    # Open connections need no orderly end.
    os._exit(verdict)
