"""Sends crowds of misbehaving clients to one entry process and checks that it stays within the limits of its machine.

A real process serves on loopback addresses, either `sardinelb-fleet entry` beside stand-ins of the platform's store and of a runner, or an
entry of `sardinelbd` in a demo fleet. Each case plays one kind of misbehaviour against a process of its own. Checked are: the process
lives, its peak resident memory and the bytes that wait unread in its sockets stay below the machine's memory, its sockets stay below the
machine's limit, and an ordinary request is answered once the crowd has left.

One line a case; exits with 1 if a check failed. Every crowd is bounded in count, bytes and time.
"""

import argparse
import asyncio
import json
import os
import random
import resource
import shutil
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "review", "stand_ins"))
sys.path.insert(0, os.path.join(ROOT, "scripts"))
import demo_fleet  # noqa: E402
import installation as stand_ins  # noqa: E402
from installation import HOST, KEY, Installation, plain_call, read_request, request_bytes, response  # noqa: E402

MEBIBYTE = 1 << 20
# Descriptors of a machine that are kept for files.
FILE_DESCRIPTORS = 200
# Longest time for a crowd to send, and how long it holds its connections after the last byte that was sent.
MAX_SEND_S = 25
QUIET_S = 1.5
# Longest time for an ordinary request to be answered, over all tries.
MAX_ANSWER_S = 30

HEADER_LIMIT = 16384
CHUNK_BYTES = 65536
SMALL_CHUNK_BYTES = 64
# How far a body or head stops before its end.
MISSING_BYTES = 100

SERVICE = "wuno96b"
LONG_ANSWER_BYTES = 3 * MEBIBYTE
EVENT_BYTES = 900 * 1024
EVENTS = 6
ENDLESS_ANSWER_BYTES = 48 * MEBIBYTE


def chunk(size):
    return b"%x\r\n%s\r\n" % (size, b"x" * size)


def chunks(total, size):
    """Sends `total` bytes of payload in chunks of `size`, without the last chunk."""
    block = chunk(size) * max(1, CHUNK_BYTES // size)
    for _ in range(total // max(size, CHUNK_BYTES)):
        yield block


def small_head_fields(total):
    return b"".join(b"a%d:b\r\n" % (i % 10) for i in range(total // 6))


class Target:
    """An entry process under test: where it listens, what an ordinary request is, and the limits of its machine."""

    def __init__(self, options):
        self.options = options
        self.body_limit = 0
        self.address = None
        self.pid = 0

    def head(self, path, extra):
        raise NotImplementedError


class FleetInstallation(Installation):
    """An installation whose entry runs on a machine with the limits of the test."""

    def __init__(self, folder, options):
        super().__init__(folder, entries=1, memory_mb=options.memory_mb)
        self.options = options

    def settings(self, name, machine_class, role, ip):
        values = super().settings(name, machine_class, role, ip)
        values["limits"]["max_fds"] = self.options.max_fds
        return values


class Runner:
    """Answers ordinary requests at once, and others with long, endless or streamed bodies, as their path says."""

    def __init__(self, installation):
        self.address = (installation.address_of(100), installation.runner_port)

    def row(self):
        return json.dumps({"service": SERVICE, "address": "%s:%d" % self.address, "zone": "z-a", "version": "v1", "slots": 1000,
                           "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1})

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address, limit=1 << 23)

    async def serve(self, reader, writer):
        try:
            request = await read_request(reader)
            if request is None:
                return
            attempt = request.field("Attempt-Id")
            marks = {"Attempt-Id": attempt, "Server-Seal": "s." + attempt}
            if request.target.startswith("/long/"):
                writer.write(response(200, "OK", marks, b"x" * LONG_ANSWER_BYTES))
            elif request.target.startswith("/stream/"):
                await self.write_chunked(writer, {**marks, "Content-Type": "text/event-stream"}, self.events())
            elif request.target.startswith("/endless/"):
                await self.write_chunked(writer, marks, (b"x" * CHUNK_BYTES for _ in range(ENDLESS_ANSWER_BYTES // CHUNK_BYTES)))
            else:
                writer.write(response(200, "OK", marks, b"%d" % len(request.body)))
            await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    @staticmethod
    def events():
        for number in range(1, EVENTS + 1):
            yield b"id: %d\ndata: %s\n\n" % (number, b"x" * EVENT_BYTES)

    @staticmethod
    async def write_chunked(writer, fields, parts):
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"] + [f"{name}: {value}" for name, value in fields.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for part in parts:
            writer.write(b"%x\r\n%s\r\n" % (len(part), part))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class FleetTarget(Target):
    """`sardinelb-fleet entry`."""

    async def __aenter__(self):
        self.body_limit = self.options.body_limit
        stand_ins.LIMITS = {**stand_ins.LIMITS, "max_body_bytes": self.body_limit, "max_header_bytes": HEADER_LIMIT}
        self.folder = tempfile.mkdtemp(prefix="sardinelb-clients-")
        self.root = self.make_root()
        stand_ins.ROOT = self.root
        self.installation = FleetInstallation(self.folder, self.options)
        await self.installation.__aenter__()
        runner = Runner(self.installation)
        await runner.start()
        await self.installation.store.put("servers", "i-1", runner.row())
        kinds = {"plain": "safe", "long": "safe", "endless": "safe", "stream": "streaming"}
        routes = [{"name": name, "hostname": HOST, "prefix": f"/{name}/", "route_type": kind, "timeout_ms": 20000, "target_latency_ms": 1000,
                   "priority": 1, "service": SERVICE, "attempts": 1, "public": False, "sticky": False} for name, kind in kinds.items()]
        await self.installation.put_configuration(routes, [{"name": SERVICE, "health_path": "/healthz", "max_conns": 2000, "protocol": "h1", "tls": False}])
        await self.installation.start_entries()
        entry = self.installation.entries[0]
        if not await self.installation.wait_ready(entry, 20):
            raise stand_ins.CannotRun("the entry is not ready")
        self.address = (entry.ip, self.installation.front_port)
        self.process = entry.process
        self.pid = entry.process.pid
        return self

    def make_root(self):
        root = os.path.join(self.folder, "root")
        os.makedirs(os.path.join(root, "deploy"))
        with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as file:
            deploy = file.read().replace("target/", os.path.abspath(self.options.build) + "/")
        with open(os.path.join(root, "deploy/system.toml"), "w", encoding="utf-8") as file:
            file.write(deploy)
        return root

    async def __aexit__(self, *_):
        await self.installation.__aexit__()
        if self.options.keep:
            shutil.copy(os.path.join(self.folder, "record.txt"), self.options.keep)
        shutil.rmtree(self.folder)

    def is_alive(self):
        return self.process.returncode is None

    def head(self, path, extra):
        return request_bytes("GET", path, self.installation.next_attempt(), 20000)[:-2].replace(b"GET", b"POST", 1) + extra

    def question(self, path):
        return request_bytes("GET", path, self.installation.next_attempt(), 20000)

    def ordinary_request(self):
        return request_bytes("POST", "/plain/x", self.installation.next_attempt(), 5000, body=b"b" * 1000)

    def largest_request(self):
        """A head and a body at the limits of the configuration, and a long answer."""
        extra = "a: " + "b" * (HEADER_LIMIT - 400) + "\r\n"
        return request_bytes("POST", "/long/x", self.installation.next_attempt(), 20000, extra, b"b" * self.body_limit)


class DaemonTarget(Target):
    """An entry of `sardinelbd`."""

    async def __aenter__(self):
        # http_limits::maxBodyBytes
        self.body_limit = 512 * 1024
        self.folder = tempfile.mkdtemp(prefix="sardinelb-clients-")
        self.fleet = demo_fleet.Fleet(self.options.build, self.folder, demo_fleet.DEPLOYMENTS["haesong"], 1, 1, 1, 2)
        await asyncio.to_thread(self.start)
        ip, port = self.fleet.address("entry-0/callers").split(":")
        self.address = (ip, int(port))
        self.process = self.fleet.processes["entry-0"]
        self.pid = self.process.pid
        return self

    def start(self):
        fleet = self.fleet
        fleet.write_settings()
        if not self.options.without_limits:
            with open(fleet.path("entry-0.json"), encoding="utf-8") as file:
                settings = json.load(file)
            settings.update(memory_mb=self.options.memory_mb, max_descriptors=self.options.max_fds)
            fleet.write("entry-0.json", settings)
        fleet.write("fleet.json", fleet.configuration())
        fleet.start_platform()
        fleet.run_cli("apply", fleet.path("fleet.json"))
        fleet.start_daemons()
        fleet.wait_ready()

    async def __aexit__(self, *_):
        await asyncio.to_thread(self.fleet.stop_all)
        shutil.rmtree(self.folder)

    def is_alive(self):
        return self.process.poll() is None

    def head(self, path, extra):
        key = demo_fleet.Fleet.team_key(0)
        return f"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {key}\r\nContent-Type: application/json\r\n".encode() + extra

    def ordinary_request(self):
        body = json.dumps({"model": "M-1", "max_tokens": 4, "messages": [{"role": "user", "content": "hello"}]}).encode()
        return self.head("", b"Content-Length: %d\r\n\r\n" % len(body)) + body


class Crowd:
    """Clients that each send some bytes and then hold their connection without reading."""

    def __init__(self, target):
        self.target = target
        self.leaving = asyncio.Event()
        self.tasks = []
        self.last_sent = time.monotonic()

    def add(self, parts):
        self.tasks.append(asyncio.ensure_future(self.run(parts)))

    async def run(self, parts):
        loop = asyncio.get_running_loop()
        with socket.socket() as connection:
            connection.setblocking(False)
            # Keeps what the kernel holds for clients that do not read small beside what the process holds.
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            # The close resets the connection, so that nothing of it lingers.
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            try:
                await loop.sock_connect(connection, self.target.address)
                for part in parts:
                    await loop.sock_sendall(connection, part)
                    self.last_sent = time.monotonic()
            except OSError:
                pass
            await self.leaving.wait()

    async def settle(self, sample):
        """Waits until no client has sent anything for a while."""
        end = time.monotonic() + MAX_SEND_S
        while time.monotonic() < end and time.monotonic() < self.last_sent + QUIET_S:
            sample()
            await asyncio.sleep(0.02)

    async def leave(self):
        self.leaving.set()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def peak_bytes(pid):
    """Peak resident memory of a process since its start; 0 if it has ended."""
    try:
        with open(f"/proc/{pid}/status", encoding="ascii") as file:
            return next(int(line.split()[1]) * 1024 for line in file if line.startswith("VmHWM:"))
    except (OSError, StopIteration):
        return 0


class Usage:
    """Peak use of the process since its start."""

    def __init__(self, target):
        self.target = target
        self.sockets = 0
        self.unread_bytes = 0

    def sample(self):
        folder = f"/proc/{self.target.pid}/fd"
        inodes = set()
        try:
            for name in os.listdir(folder):
                link = os.readlink(os.path.join(folder, name))
                if link.startswith("socket:["):
                    inodes.add(link[8:-1])
        except OSError:
            pass
        self.sockets = max(self.sockets, len(inodes))
        with open("/proc/net/tcp", encoding="ascii") as file:
            rows = [line.split() for line in file.readlines()[1:]]
        self.unread_bytes = max(self.unread_bytes, sum(int(row[4].split(":")[1], 16) for row in rows if row[9] in inodes and row[3] == "01"))

    def peak_bytes(self):
        return peak_bytes(self.target.pid)


def announced_far_over_limit(target, clients, crowd):
    """Bodies that are announced with a thousand times the limit, and sent at once."""
    for _ in range(clients):
        crowd.add([target.head("/plain/x", b"Content-Length: %d\r\n\r\n" % (target.body_limit * 1000))] + [b"x" * CHUNK_BYTES] * 64)


def sent_far_over_limit(target, clients, crowd):
    """Chunked bodies of four times the limit."""
    for _ in range(clients):
        crowd.add([target.head("/plain/x", b"Transfer-Encoding: chunked\r\n\r\n"), *chunks(target.body_limit * 4, CHUNK_BYTES)])


def length_stops_short(target, clients, crowd):
    """Bodies at the limit of which the last bytes are missing."""
    for _ in range(clients):
        crowd.add([target.head("/plain/x", b"Content-Length: %d\r\n\r\n" % target.body_limit), b"x" * (target.body_limit - MISSING_BYTES)])


def large_chunks_stop_short(target, clients, crowd):
    """Chunked bodies just below the limit without their last chunk."""
    for _ in range(clients):
        crowd.add([target.head("/plain/x", b"Transfer-Encoding: chunked\r\n\r\n"), *chunks(target.body_limit - 1, CHUNK_BYTES)])


def small_chunks_stop_short(target, clients, crowd):
    for _ in range(clients):
        crowd.add([target.head("/plain/x", b"Transfer-Encoding: chunked\r\n\r\n"), *chunks(target.body_limit - 1, SMALL_CHUNK_BYTES)])


def heads_stop_short(target, clients, crowd):
    """Heads just below the limit of many short fields. The last line is missing."""
    for _ in range(clients):
        head = target.head("/plain/x", b"")
        crowd.add([head + small_head_fields(HEADER_LIMIT - len(head) - MISSING_BYTES)])


def many_fields_body_stops_short(target, clients, crowd):
    """Complete heads of many short fields, which take far more memory than bytes sent, with a body that never comes."""
    for _ in range(clients):
        head = target.head("/plain/x", b"Content-Length: 1000\r\n")
        crowd.add([head + small_head_fields(HEADER_LIMIT - len(head) - MISSING_BYTES) + b"\r\n"])


def silent_connections(target, clients, crowd):
    """More connections than the machine has descriptors, which send nothing."""
    for _ in range(target.options.max_fds + 50):
        crowd.add([])


def unread_answers(target, clients, crowd):
    for _ in range(clients):
        crowd.add([target.question("/long/x")])


def unread_streams(target, clients, crowd):
    for _ in range(clients):
        crowd.add([target.question("/stream/x")])


def unread_endless_answers(target, clients, crowd):
    for _ in range(clients):
        crowd.add([target.question("/endless/x")])


async def one_request_at_the_limits(target, options):
    """Serves one request at all limits while nothing else is asked for."""
    status, _, body = await plain_call(*target.address, target.largest_request(), 20)
    is_served = status == 200 and len(body) == LONG_ANSWER_BYTES
    print(f"{options.target} one_request_at_the_limits: {'passed' if is_served else 'FAILED: status %d, %d bytes' % (status, len(body))}", flush=True)
    return [] if is_served else ["refused"]


REQUEST_CASES = [announced_far_over_limit, sent_far_over_limit, length_stops_short, large_chunks_stop_short, small_chunks_stop_short,
                 heads_stop_short, many_fields_body_stops_short, silent_connections]
CASES = {"fleet": (FleetTarget, REQUEST_CASES + [unread_answers, unread_streams, unread_endless_answers,
                                                  one_request_at_the_limits]),
         "daemon": (DaemonTarget, REQUEST_CASES)}


async def is_answered(target, seconds):
    """Whether an ordinary request is answered with success, on one of several tries."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        status, _, _ = await plain_call(*target.address, target.ordinary_request(), 6)
        if status == 200:
            return True
        await asyncio.sleep(0.2)
    return False


async def play(case, options):
    """Plays one case. Returns what failed."""
    kind, _ = CASES[options.target]
    # The end of a case cancels calls of the entry to the store, which asyncio would print.
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    async with kind(options) as target:
        usage = Usage(target)
        if not await is_answered(target, MAX_ANSWER_S):
            raise stand_ins.CannotRun("no ordinary request is answered before the crowd comes")
        if case is one_request_at_the_limits:
            return await case(target, options)
        crowd = Crowd(target)
        begin_bytes = usage.peak_bytes()
        case(target, options.clients, crowd)
        await crowd.settle(usage.sample)
        is_answered_during = await is_answered(target, 5)
        usage.sample()
        await crowd.leave()
        is_answered_after = await is_answered(target, MAX_ANSWER_S)
        peak = usage.peak_bytes()
        failures = []
        if not target.is_alive():
            failures.append("the process has ended")
        if peak + usage.unread_bytes > options.memory_mb * MEBIBYTE:
            failures.append("memory")
        if usage.sockets > options.max_fds - FILE_DESCRIPTORS:
            failures.append("sockets")
        if not is_answered_after:
            failures.append("no ordinary request is answered afterwards")
        print(f"{options.target} {case.__name__}: {'FAILED: ' + ', '.join(failures) if failures else 'passed'}; memory {peak / MEBIBYTE:.1f} MiB "
              f"(before the crowd {begin_bytes / MEBIBYTE:.1f}) + {usage.unread_bytes / MEBIBYTE:.1f} unread of {options.memory_mb}, sockets {usage.sockets} of "
              f"{options.max_fds - FILE_DESCRIPTORS}, answered meanwhile: {'yes' if is_answered_during else 'no'}", flush=True)
        return failures


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", required=True, help="the build folder")
    parser.add_argument("--target", required=True, choices=CASES)
    parser.add_argument("--case", action="append", help="all by default")
    parser.add_argument("--memory-mb", type=int, default=64)
    parser.add_argument("--max-fds", type=int, default=400)
    parser.add_argument("--clients", type=int, default=60)
    parser.add_argument("--body-limit", type=int, default=2 * MEBIBYTE, help="max_body_bytes of the fleet's configuration")
    parser.add_argument("--without-limits", action="store_true", help="for builds of sardinelbd whose settings name no limits of the machine")
    parser.add_argument("--keep", help="a folder for the record of a run")
    options = parser.parse_args()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, 8192)), hard))
    random.seed(os.getpid())
    failures = []
    try:
        for case in CASES[options.target][1]:
            if not options.case or case.__name__ in options.case:
                failures += asyncio.run(play(case, options))
    except stand_ins.CannotRun as error:
        print(f"could not run: {error}")
        sys.exit(2)
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
