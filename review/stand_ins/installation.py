"""A small installation on loopback addresses: the platform's store, runners, clients and the supervisor of the processes.

The programs under test are started with the commands of the deploy file. All stand-ins live in the process of the test and
follow the users' pages. Every machine has its own loopback address, and the ports are the same on all machines.
"""

import asyncio
import base64
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
    "grace_s": 8, "loss_slack_ms": 200, "config_ms": 2000, "downgrade_ms": 250, "max_skew_ms": 5000,
    "revoke_strict": False, "revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 88,
    "recover_s": 12, "event_delay_ms": 120, "retry_after_s": 0, "stall_ms": 1500, "enforce_fencing": False,
}

LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "experts"]

KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HOST = "ficu95.example"

HEARTBEAT_S = 1.2


class CannotRun(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """Writes what happened, with the time since the start, to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.begin = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, fields, body):
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body

    def field(self, name):
        return self.fields.get(name.lower(), "")


async def read_request(reader):
    """Returns the next request of a connection, or None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, fields, body)


def response(status, reason, fields, body):
    lines = [f"HTTP/1.1 {status} {reason}"] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def json_response(status, value):
    return response(status, "OK" if status < 300 else "Refused", {"Content-Type": "application/json"}, json.dumps(value).encode())


class Store:
    """The platform's metadata store: rows with one counter of versions, and a feed of what has changed."""

    def __init__(self, address, record):
        self.address = address
        self.record = record
        self.rows = {}
        self.changes = []
        self.version = 0
        self.changed = asyncio.Condition()
        self.begin = time.monotonic()

    async def start(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def put(self, table, key, value):
        """Writes a row, as the operator or a runner. None removes it."""
        async with self.changed:
            self.version += 1
            row = {"table": table, "part": "", "key": key, "ver": self.version}
            if value is None:
                self.rows.pop((table, key), None)
                row["removed"] = True
            else:
                row["value"] = base64.b64encode(value.encode()).decode()
                self.rows[(table, key)] = row
            self.changes.append(row)
            self.changed.notify_all()

    def now_ms(self):
        return int((time.monotonic() - self.begin) * 1000)

    def read(self, query):
        keys = sorted(key for table, key in self.rows if table == query["table"] and key >= query.get("from", ""))
        limit = int(query.get("limit", "500"))
        rows = [self.rows[(query["table"], key)] for key in keys[:limit]]
        return {"rows": rows, "has_more": len(keys) > limit, "ver": self.version, "now_ms": self.now_ms()}

    async def follow(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000

        def rows():
            newest = {}
            for row in self.changes:
                if row["ver"] > after and row["table"] == query["table"]:
                    newest.pop(row["key"], None)
                    newest[row["key"]] = row
            return list(newest.values())

        async with self.changed:
            while not rows() and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                except (asyncio.TimeoutError, TimeoutError):
                    break
            return {"rows": rows(), "ver": self.version, "now_ms": self.now_ms()}

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                path, _, text = request.target.partition("?")
                query = {}
                for item in text.split("&"):
                    name, _, value = item.partition("=")
                    query[name] = bytes_of(value).decode("utf-8", "replace")
                await asyncio.sleep(0.004)
                if path == "/v1/rows-get":
                    answer = json_response(200, self.read(query))
                elif path == "/v1/rows-feed":
                    answer = json_response(200, await self.follow(query))
                elif path == "/v1/rows-tx":
                    call = json.loads(request.body)
                    for row in call.get("puts", []):
                        await self.put(row["table"], row["key"], base64.b64decode(row["value"]).decode("utf-8", "replace"))
                    answer = json_response(200, {"ver": self.version, "now_ms": self.now_ms()})
                else:
                    answer = json_response(404, {})
                writer.write(answer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


def bytes_of(text):
    out = bytearray()
    i = 0
    while i < len(text):
        if text[i] == "%":
            out.append(int(text[i + 1:i + 3], 16))
            i += 3
        else:
            out.append(ord(text[i]))
            i += 1
    return bytes(out)


class Process:
    """A process of the deploy file on one machine, restarted by the supervisor as the platform would."""

    def __init__(self, name, command, settings, folder, record):
        self.name = name
        self.command = command
        self.settings = os.path.join(folder, name + ".json")
        self.log = os.path.join(folder, name + ".log")
        self.record = record
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.process = None
        self.starting = None
        self.ends = []

    async def start(self):
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/tmp"), "SARDINELB_CONFIG": self.settings}
        with open(self.log, "ab") as log:
            # A start that is under way when the test ends is completed, so that the process can be ended.
            self.starting = asyncio.ensure_future(
                asyncio.create_subprocess_exec(*shlex.split(self.command), cwd=ROOT, env=environment, stdout=log, stderr=log))
            self.process = await asyncio.shield(self.starting)
        self.record.write(f"platform: started {self.name}, process {self.process.pid}")

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)
            self.record.write(f"platform: sent {signal.Signals(number).name} to {self.name}, process {self.process.pid}")

    async def wait(self):
        status = await self.process.wait()
        self.ends.append(status)
        self.record.write(f"platform: {self.name}, process {self.process.pid}, ended with status {status}")
        return status

    def resident_bytes(self):
        try:
            with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGESIZE")
        except (OSError, IndexError):
            return 0


class Installation:
    """Machines, the store and the processes of the system. Use as an asynchronous context."""

    def __init__(self, folder, entries=1, memory_mb=260):
        self.folder = folder
        self.record = Record(folder)
        self.memory_mb = memory_mb
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.base = self.free_ports()
        self.entry_count = entries
        self.front_port = self.base + 20
        self.ready_port = self.base + 21
        self.store = Store(f"127.0.0.1:{self.base + 22}", self.record)
        self.runner_port = self.base + 23
        self.processes = []
        self.tasks = []
        self.attempts = 0
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        binary = shlex.split(self.roles["entry"]["run"])[0]
        if not os.access(os.path.join(ROOT, binary), os.X_OK):
            raise CannotRun(f"{binary} is not built")

    @staticmethod
    def free_ports():
        """Returns the first of 40 ports that are free for TCP and UDP on all loopback addresses."""
        for _ in range(200):
            base = random.randint(20000, 30000)
            try:
                for port in range(base, base + 40):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind(("0.0.0.0", port))
                return base
            except OSError:
                continue
        raise CannotRun("no free ports")

    async def __aenter__(self):
        self.temporary = tempfile.TemporaryDirectory(prefix="sardinelb-review-")
        await self.store.start()
        return self

    async def __aexit__(self, *_):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for process in self.processes:
            started = await process.starting if process.starting else None
            if started and started.returncode is None:
                started.kill()
                await started.wait()
        self.keep_logs()
        self.temporary.cleanup()

    def keep_logs(self):
        for process in self.processes:
            try:
                with open(process.log, encoding="utf-8", errors="replace") as file:
                    lines = file.readlines()
            except OSError:
                continue
            self.record.write(f"log of {process.name}, last lines:")
            for line in lines[-12:]:
                self.record.write("    " + line.rstrip()[:400])

    def run_in_background(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    def address_of(self, machine):
        return f"{self.net}.{machine}"

    def settings(self, name, machine_class, role, ip):
        front = machine_class == "edge"
        settings = {
            "node": name, "role": role, "machine_class": machine_class, "serves": [machine_class], "ip": ip, "zone": "z-a",
            "region": "r-a", "zones": {"z-a": "r-a"}, "listen": {}, "port_range": [self.base, self.base + 15], "seeds": [],
            "bootstrap": True, "in_tolerance": False,
            "limits": {"cpu_share": 0.19, "cores": 1, "memory_mb": self.memory_mb if front else 128, "max_fds": 4200,
                       "link_mbps": 1000.0 if front else 20.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "contracts": CONTRACTS, "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "platform": {"address": self.store.address, "form": "table", "writes_per_s": 400, "reads_per_s": 2000, "tx_ms": 5.0,
                         "part_writes_s": 200, "row_bytes": 65536, "across": False, "history_s": 20, "blob_bytes": 8388608,
                         "blob_ms": 25.0, "blob_mb_s": 80.0},
        }
        if front:
            settings["listen"] = {"front": f"{ip}:{self.front_port}", "ready_addr": f"{ip}:{self.ready_port}"}
        else:
            settings["app"] = f"{ip}:{self.runner_port}"
            settings["service"] = "huvo11a"
        return settings

    async def start_entries(self):
        self.entries = []
        for number in range(1, self.entry_count + 1):
            name = f"edge-z-a-{number}"
            settings = self.settings(name, "edge", "entry", self.address_of(200 + number))
            entry = Process(name, self.roles["entry"]["run"], settings, self.temporary.name, self.record)
            entry.ip = self.address_of(200 + number)
            self.entries.append(entry)
            self.processes.append(entry)
            await entry.start()

    async def start_agent(self, number):
        name = f"side-z-a-{number}"
        ip = self.address_of(number)
        agent = Process(name, self.roles["agent"]["run"], self.settings(name, "side", "agent", ip), self.temporary.name, self.record)
        agent.ip = ip
        self.processes.append(agent)
        await agent.start()
        return agent

    async def wait_ready(self, entry, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            status, _, _ = await plain_call(entry.ip, self.ready_port, b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1)
            if status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    async def put_configuration(self, routes, services, version=7):
        value = {"version": version, "routes": routes, "services": services, "limits": LIMITS,
                 "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}]}
        await self.store.put("op", "config", json.dumps(value))
        self.record.write(f"operator: desired state {version} acknowledged")

    def next_attempt(self):
        self.attempts += 1
        return f"{self.attempts:016x}"


def request_bytes(method, path, attempt, deadline_ms, extra="", body=b""):
    text = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: {deadline_ms}\r\n"
            f"Authorization: Bearer {KEY}\r\n{extra}")
    if method == "POST":
        text += f"Content-Length: {len(body)}\r\n"
    return (text + "\r\n").encode("latin-1") + body


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return int(lines[0].split(" ")[1]), fields


async def read_body(reader, fields, on_part=None):
    """Reads a body to its end. Raises an error if it is incomplete."""
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
            if on_part:
                on_part(part[:-2])
    return await reader.readexactly(int(fields.get("content-length", "0")))


async def plain_call(host, port, request, seconds):
    """Sends a request on a new channel. Returns status, fields and body; status 0 without a complete answer."""
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(request)
                await writer.drain()
                status, fields = await read_head(reader)
                return status, fields, await read_body(reader, fields)
            finally:
                writer.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError, asyncio.TimeoutError, ValueError):
        return 0, {}, b""


def trouble_wanted():
    return os.environ.get("TROUBLE", "1") != "0"


def play(case, folder):
    """Runs a case to its verdict: 1 if the rule was broken, 0 if it held, 2 if it could not run."""

    async def bounded():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(110):
            return await case()

    try:
        broken = asyncio.run(bounded())
    except CannotRun as error:
        print(f"could not run: {error}")
        sys.exit(2)
    except (TimeoutError, asyncio.TimeoutError, asyncio.CancelledError):
        print("could not run: out of time or ended")
        sys.exit(2)
    print(f"{os.path.basename(folder)}: the rule " + ("was broken" if broken else "held"))
    sys.exit(1 if broken else 0)
