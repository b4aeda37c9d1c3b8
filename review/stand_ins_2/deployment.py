"""A small deployment on loopback addresses: the metadata store, the settings files and the processes of the users' platform.

Only what the cases of this review need is served. Each machine has a loopback address of its own; ports are the same on all of them, as
the platform's pages say. Everything that is started here is ended by `Deployment.close()`.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "fleet", "sardinelb-fleet")

HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
ZONE = "z-a"
HEARTBEAT_S = 1.2
PORTS = 12

# The bounds of the small sites.
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
          "loss_slack_ms": 200, "config_ms": 2000, "downgrade_ms": 250, "max_skew_ms": 5000, "revoke_strict": False, "revoke_ms": 5000,
          "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 88, "recover_s": 12, "event_delay_ms": 120, "retry_after_s": 0,
          "stall_ms": 1500, "enforce_fencing": False}


class CannotRun(Exception):
    """The case cannot be played here."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


class Request:
    def __init__(self, method, target, fields, body):
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body

    def field(self, name):
        return self.fields.get(name.lower(), "")


async def read_head(reader):
    """Returns the first line and the fields, with names in lower case; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ")
    length = int(head[1].get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Request(method, target, head[1], body)


def response(status, reason, fields, body):
    lines = [f"HTTP/1.1 {status} {reason}"] + [f"{name}: {value}" for name, value in fields.items()] + [f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's metadata store: rows of tables with an empty part, reads, feeds and transactions."""

    def __init__(self, ip, port, record):
        self.address = f"{ip}:{port}"
        self.ip = ip
        self.port = port
        self.record = record
        self.version = 0
        self.rows = {}
        self.history = []
        self.changed = asyncio.Event()
        self.begun = time.monotonic()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    def put(self, table, key, value):
        self.version += 1
        self.rows[(table, key)] = (value, self.version)
        self.note(table, key, value, False)

    def remove(self, table, key):
        if self.rows.pop((table, key), None) is None:
            return
        self.version += 1
        self.note(table, key, b"", True)

    def note(self, table, key, value, is_removed):
        self.history.append((self.version, table, key, value, is_removed))
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def encode(table, key, value, version, is_removed=False):
        row = {"table": table, "part": "", "key": key, "value": base64.b64encode(value).decode(), "ver": version}
        if is_removed:
            row["removed"] = True
        return row

    def answer(self, rows, **more):
        now = int((time.monotonic() - self.begun) * 1000)
        body = json.dumps({"rows": rows, "ver": self.version, "now_ms": now, **more}).encode()
        return response(200, "OK", {"Content-Type": "application/json", "Store-Era": "1"}, body)

    def read(self, query):
        start = query.get("from", "")
        table = query["table"]
        keys = sorted(key for of, key in self.rows if of == table and key >= start)
        limit = int(query.get("limit", "500"))
        rows = [self.encode(table, key, *self.rows[(table, key)]) for key in keys[:limit]]
        return self.answer(rows, has_more=len(keys) > limit)

    async def feed(self, query):
        after = int(query["after"])
        table = query["table"]
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            newest = {change[2]: change for change in self.history if change[0] > after and change[1] == table}
            left = end - time.monotonic()
            if newest or left <= 0:
                changes = sorted(newest.values())
                return self.answer([self.encode(of, key, value, version, gone) for version, of, key, value, gone in changes])
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except (asyncio.TimeoutError, TimeoutError):
                pass

    def transact(self, body):
        call = json.loads(body)
        for row in call.get("expected_rev", []):
            known = self.rows.get((row["table"], row["key"]), (b"", 0))[1]
            if known != row.get("ver", 0):
                return response(412, "Precondition Failed", {"Store-Era": "1"}, b'{"rows":[]}')
        for row in call.get("puts", []):
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in call.get("remove", []):
            self.remove(row["table"], row["key"])
        return self.answer([])

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                path, _, text = request.target.partition("?")
                query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
                if path == "/v1/rows-get":
                    writer.write(self.read(query))
                elif path == "/v1/rows-feed":
                    writer.write(await self.feed(query))
                elif path == "/v1/rows-tx":
                    writer.write(self.transact(request.body))
                else:
                    writer.write(response(404, "Not Found", {"Store-Era": "1"}, b""))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Program:
    """One process of the system under test."""

    def __init__(self, deployment, role, name, ip, app=None):
        self.deployment = deployment
        self.role = role
        self.name = name
        self.ip = ip
        self.app = app
        self.process = None

    async def start(self):
        path = os.path.join(self.deployment.folder, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.deployment.settings(self), file)
        log = open(os.path.join(self.deployment.folder, f"{self.name}.log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "SARDINELB_CONFIG": path}
        self.process = await asyncio.create_subprocess_exec(PROGRAM, self.role, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.deployment.record.write(f"{self.name}: started")

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.deployment.record.write(f"{self.name}: {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
        if self.process:
            await self.process.wait()


class Deployment:
    """Starts the store at once and programs on request. Addresses lie in one random loopback network."""

    def __init__(self, folder, record):
        self.folder = folder
        self.record = record
        self.network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.first_port = self.free_ports()
        self.programs = []
        self.tasks = []
        self.store = Store(f"{self.network}.250", self.first_port, record)

    def free_ports(self):
        for _ in range(100):
            first = random.randrange(12000, 30000)
            try:
                for port in range(first, first + PORTS):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind(("0.0.0.0", port))
                return first
            except OSError:
                continue
        raise CannotRun("no free ports")

    @property
    def front_port(self):
        return self.first_port + 1

    @property
    def ready_port(self):
        return self.first_port + 2

    @property
    def app_port(self):
        return self.first_port + 3

    def settings(self, program):
        address = lambda port: f"{program.ip}:{port}"  # noqa: E731
        listen = {"front": address(self.front_port), "ready_addr": address(self.ready_port)} if program.role == "entry" else {}
        is_entry = program.role == "entry"
        return {"node": program.name, "role": program.role, "machine_class": "edge" if is_entry else "side", "serves": ["edge" if is_entry else "side"],
                "ip": program.ip, "zone": ZONE, "region": "g-a", "zones": {ZONE: "g-a"}, "listen": listen,
                "port_range": [self.first_port + 5, self.first_port + PORTS - 1], "seeds": [], "bootstrap": True, "in_tolerance": False,
                "app": program.app, "limits": {"cpu_share": 0.19, "cores": 1, "memory_mb": 260 if is_entry else 128, "max_fds": 4200 if is_entry else 2048, "link_mbps": 1000.0 if is_entry else 20, "disk_mb": 0},
                "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": int(HEARTBEAT_S * 1000),
                "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "experts"],
                "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": BOUNDS,
                "platform": {"address": self.store.address, "form": "table", "writes_per_s": 400, "reads_per_s": 2000, "tx_ms": 5.0, "part_writes_s": 200,
                             "row_bytes": 65536, "across": False, "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_s": 80.0}}

    def configuration(self, routes, services, version=7):
        return json.dumps({"version": version, "routes": routes, "services": services,
                           "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
                           "tenants": [{"name": TENANT, "api_keys": [KEY]}]}).encode()

    async def start_program(self, role, name, ip, app=None):
        program = Program(self, role, name, ip, app)
        self.programs.append(program)
        await program.start()
        return program

    def run_in_background(self, work):
        self.tasks.append(asyncio.ensure_future(work))

    async def wait_ready(self, entry, seconds):
        call = b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(entry.ip, self.ready_port)
                writer.write(call)
                head = await read_head(reader)
                writer.close()
                if head and " 200 " in head[0] + " ":
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"{entry.name} is not ready")

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for program in self.programs:
            await program.end()


def route(name, prefix, kind, service, timeout_ms, attempts, **more):
    return {"name": name, "hostname": HOST, "prefix": prefix, "route_type": kind, "timeout_ms": timeout_ms, "target_latency_ms": 500,
            "priority": 1, "service": service, "attempts": attempts, "public": False, "sticky": False, **more}


def request_bytes(method, path, attempt, deadline_ms, extra="", body=b""):
    head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: {deadline_ms}\r\n"
            f"Authorization: Bearer {KEY}\r\n{extra}Content-Length: {len(body)}\r\n\r\n")
    return head.encode() + body


async def read_chunked(reader):
    """Returns the body of a chunked response and whether its last chunk has come."""
    body = b""
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body, True
            body += part[:-2]
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return body, False


async def read_answer(reader):
    """Returns the status, the fields, the body and whether the answer is complete by its framing. A status of 0 stands for none."""
    head = await read_head(reader)
    if head is None:
        return 0, {}, b"", False
    status = int(head[0].split(" ")[1])
    fields = head[1]
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body, is_complete = await read_chunked(reader)
        return status, fields, body, is_complete
    length = int(fields.get("content-length", "0"))
    try:
        return status, fields, await reader.readexactly(length), True
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        return status, fields, getattr(error, "partial", b""), False


async def ask(ip, port, request, seconds):
    """Sends one request on a new connection and reads its answer."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(request)
        return await asyncio.wait_for(read_answer(reader), seconds)
    except (asyncio.TimeoutError, TimeoutError, ConnectionError):
        return 0, {}, b"", False
    finally:
        writer.close()


def run_case(play, seconds=115):
    """Runs `play(deployment, record, with_trouble)`, which returns whether the rule was broken. Ends the process with the case's status."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"disruption: {'yes' if with_trouble else 'no'}")

    async def run(scratch):
        deployment = Deployment(scratch, record)
        try:
            if not os.access(PROGRAM, os.X_OK):
                raise CannotRun("target/fleet/sardinelb-fleet is missing; run the build of deploy/system.toml")
            await deployment.store.start()
            return 1 if await asyncio.wait_for(play(deployment, record, with_trouble), seconds) else 0
        finally:
            await deployment.close()

    status = 2
    with tempfile.TemporaryDirectory() as scratch:
        try:
            status = asyncio.run(run(scratch))
        except (CannotRun, OSError, asyncio.TimeoutError, TimeoutError) as error:
            record.write(f"could not run: {error!r}")
    record.write({0: "result: the rule held", 1: "result: the rule was broken", 2: "result: the case could not run"}[status])
    record.close()
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run; see record.txt"}[status])
    sys.exit(status)
