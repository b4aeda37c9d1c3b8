"""A small deployment on loopback addresses: the store, entries of `sardinelb-fleet` and runners of a plain service.

Entries are started with the command of the deploy file. Each machine has a loopback address of its own. All processes end with the
installation, and settings and logs lie in a temporary folder.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import http_parts
from store import Store

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))

SERVICE = "wuno96b"
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
HEARTBEAT_S = 1.2
PEER_PORTS = 16
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
          "loss_slack_ms": 200, "config_ms": 2000, "downgrade_ms": 250, "max_skew_ms": 5000, "revoke_strict": False, "revoke_ms": 5000,
          "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 88, "recover_s": 12, "event_delay_ms": 120, "retry_after_s": 0,
          "stall_ms": 1500, "enforce_fencing": False}
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
SIDE_MACHINE = {"cpu_share": 0.15, "cores": 1, "memory_mb": 128, "max_fds": 2048, "link_mbps": 20.0, "disk_mb": 0}
MACHINE = {"cpu_share": 0.19, "cores": 1, "memory_mb": 260, "max_fds": 4200, "link_mbps": 1000.0, "disk_mb": 0}


# Of each log in a record, and of each of its lines.
MAX_LOG_LINES = 300
MAX_LOG_CHARACTERS = 300


class CannotRun(Exception):
    """The case could not be set up."""


def route(name, kind, timeout_ms, **others):
    values = {"name": f"r-{name}", "hostname": HOST, "prefix": f"/{name}/", "route_type": kind, "timeout_ms": timeout_ms,
              "target_latency_ms": 500, "priority": 1, "service": SERVICE, "attempts": 2, "public": False, "sticky": False}
    return {**values, **others}


def free_ports(ip, count):
    """The first of `count` free ports in a row."""
    for _ in range(200):
        first = random.randint(20000, 30000)
        sockets = []
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sockets.append(socket.socket(socket.AF_INET, kind))
                    sockets[-1].bind((ip, port))
            return first
        except OSError:
            continue
        finally:
            for one in sockets:
                one.close()
    raise CannotRun("no free ports")


class Answer:
    """What a client received."""

    def __init__(self, head, body, is_complete, seconds):
        self.head = head
        self.body = body
        self.is_complete = is_complete
        self.seconds = seconds

    @property
    def status(self):
        return self.head.status if self.head else 0


class Installation:
    def __init__(self, record_path, entries=1):
        self.record_file = open(record_path, "w", encoding="utf-8")  # pylint: disable=consider-using-with
        self.started_at = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="sardinelb-review-")
        self.net = f"127.{random.randint(10, 250)}.{random.randint(0, 250)}"
        self.processes = []
        self.entry_count = entries
        self.entries = []
        self.attempts = 0

    def record(self, text):
        self.record_file.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")
        self.record_file.flush()

    def ip(self, machine):
        return f"{self.net}.{machine}"

    async def __aenter__(self):
        self.store = Store((self.ip(200), free_ports(self.ip(200), 1)), HEARTBEAT_S)
        await self.store.start()
        self.record(f"store at {self.store.address[0]}:{self.store.address[1]}")
        return self

    async def __aexit__(self, *_):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        await self.store.stop()
        self.copy_logs()
        shutil.rmtree(self.folder)
        self.record_file.close()

    def copy_logs(self):
        """Adds what runners recorded, and what entries logged of requests, to the record."""
        for name in sorted(os.listdir(self.folder)):
            if not name.endswith(".log"):
                continue
            with open(os.path.join(self.folder, name), encoding="utf-8", errors="replace") as file:
                lines = file.read().splitlines()
            wanted = ('"event":"attempt', '"event":"request"', '"event":"runner', '"event":"stop', '"event":"start')
            for line in lines[-MAX_LOG_LINES:]:
                if name.startswith("runner") or any(part in line for part in wanted):
                    self.record_file.write(f"{name}: {line[:MAX_LOG_CHARACTERS]}\n")

    def spawn(self, command, log, env=None):
        with open(os.path.join(self.folder, log), "ab") as output:
            process = subprocess.Popen(command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=output, stderr=output)
        self.processes.append(process)
        return process

    async def configure(self, routes, version=7, services=()):
        value = {"version": version, "routes": routes, "services": [{"name": SERVICE, "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": False}, *services],
                 "limits": LIMITS, "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}]}
        await self.store.put("op", "config", json.dumps(value))

    @staticmethod
    def command(role):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"][role]["run"].split(" ")
        if not os.path.exists(os.path.join(ROOT, command[0])):
            raise CannotRun("the build of the deploy file is missing")
        return command

    def settings(self, node, role, ip, ports, machine):
        return {"node": node, "role": role, "ip": ip, "zone": "zone-a", "region": "region", "zones": {"zone-a": "region"},
                "port_range": [ports, ports + PEER_PORTS - 1], "seeds": [], "bootstrap": True, "limits": machine, "discovery": "platform", "entry": "vip",
                "heartbeat_ms": int(HEARTBEAT_S * 1000), "bounds": BOUNDS,
                "platform": {"address": "%s:%d" % self.store.address, "form": "table", "writes_per_s": 400, "reads_per_s": 2000}}

    def start_daemon(self, settings):
        path = os.path.join(self.folder, settings["node"] + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        return self.spawn(self.command(settings["role"]), settings["node"] + ".log", {"PATH": os.environ["PATH"], "SARDINELB_CONFIG": path})

    async def start_entries(self):
        port = free_ports(self.ip(1), PEER_PORTS + 2)
        for number in range(1, self.entry_count + 1):
            ip = self.ip(number)
            settings = {**self.settings(f"edge-{number}", "entry", ip, port, MACHINE), "machine_class": "edge", "serves": ["edge"],
                        "listen": {"front": f"{ip}:{port + PEER_PORTS}", "ready_addr": f"{ip}:{port + PEER_PORTS + 1}"}}
            process = self.start_daemon(settings)
            self.entries.append((process, (ip, port + PEER_PORTS), (ip, port + PEER_PORTS + 1)))
        for number in range(self.entry_count):
            await self.wait_ready(number)

    def agent_settings(self, number, ports, runner):
        """Settings of an agent on a machine with its runner."""
        return {**self.settings(f"side-{number}", "agent", runner[0], ports, SIDE_MACHINE), "machine_class": "side", "serves": ["side"], "listen": {},
                "app": "%s:%d" % runner, "service": "huvo11a"}

    async def is_ready(self, number):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.entries[number][2]), 1)
            writer.write(http_parts.head_bytes("GET /v1/readyz HTTP/1.1", {"Host": "h", "Connection": "close"}))
            head = await asyncio.wait_for(http_parts.read_head(reader), 1)
            writer.close()
            return head is not None and head.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, number):
        for _ in range(100):
            if await self.is_ready(number):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("an entry is not ready")

    def runner_address(self, machine):
        return self.ip(machine), free_ports(self.ip(machine), 1)

    async def start_runner(self, runner, address):
        """Starts a runner process and waits until it is in the list."""
        command = [sys.executable, "-B", os.path.join(HERE, "runner.py"), "--ip", address[0], "--port", str(address[1]), "--id", runner,
                   "--service", SERVICE, "--store", "%s:%d" % self.store.address, "--heartbeat-s", str(HEARTBEAT_S), "--log", os.path.join(self.folder, f"runner-{runner}.log")]
        process = self.spawn(command, f"output-{runner}.txt")
        for _ in range(200):
            if ("servers", runner) in self.store.rows:
                self.record(f"runner {runner} started at {address[0]}:{address[1]}")
                return process
            await asyncio.sleep(0.02)
        raise CannotRun("a runner did not start")

    def next_attempt(self):
        self.attempts += 1
        return f"{self.attempts:04x}{random.getrandbits(48):012x}"

    async def call(self, entry, method, target, deadline_ms, attempt=None, extra=None):
        """Sends a request, with `extra` fields, on a new connection and reads its answer to the end."""
        attempt = attempt or self.next_attempt()
        began = time.monotonic()
        self.record(f"sent {attempt} {method} {target}")
        reader, writer = await asyncio.open_connection(*self.entries[entry][1])
        try:
            fields = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": deadline_ms, "Authorization": f"Bearer {KEY}"}
            fields.update(extra or {})
            if method == "POST":
                fields["Content-Length"] = 0
            writer.write(http_parts.head_bytes(f"{method} {target} HTTP/1.1", fields))
            head = await http_parts.read_head(reader)
            body, is_complete = await http_parts.read_body(reader, head) if head else (b"", False)
            answer = Answer(head, body, is_complete, time.monotonic() - began)
        except (ConnectionError, asyncio.IncompleteReadError):
            answer = Answer(None, b"", False, time.monotonic() - began)
        finally:
            writer.close()
        self.record(f"answered {attempt} status {answer.status} seal {answer.head.field('server-seal') if answer.head else ''!r} bytes {len(answer.body)} complete {answer.is_complete} after {answer.seconds:.3f} s")
        return answer
