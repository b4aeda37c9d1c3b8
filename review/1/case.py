"""A runner spoils some answers: instead of the end of a chunked body come bytes that are no answer. The entry ends itself."""

import asyncio
import json
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins"))
from installation import CannotRun, HEARTBEAT_S, Installation, play, read_body, read_head, read_request, request_bytes, response, trouble_wanted  # noqa: E402

ENTRIES = 2
CLIENTS = 16
WORK_S = 0.3
SLOTS = 6
# The faulty runner spoils one answer in this many: 0.02, the share that the bench names.
ANSWERS_PER_SPOILT = 50
BEFORE_S = 5
TRAFFIC_S = 24
RESTART_S = 0.5

# More channels that are closed without an answer break the rule.
LOST_ALLOWED = 3

# Length of the bytes that are no answer. They may come without end; here they end.
SPOILT_BYTES = 70000

CONFIGURATION_ROUTES = [
    {"name": "r-book", "hostname": "ficu95.example", "prefix": "/puxa403/", "route_type": "unsafe", "timeout_ms": 1000,
     "target_latency_ms": 100, "priority": 1, "service": "wuno96b", "attempts": 1, "public": False, "sticky": False},
    {"name": "r-check", "hostname": "ficu95.example", "prefix": "/cufi504/", "route_type": "safe", "timeout_ms": 1000,
     "target_latency_ms": 100, "priority": 1, "service": "wuno96b", "attempts": 2, "public": False, "sticky": False},
]
SERVICES = [{"name": "wuno96b", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": False}]


class Runner:
    """A runner of a plain service. A faulty one spoils a share of its answers, and says before that it ran the request."""

    def __init__(self, name, ip, port, record, is_faulty):
        self.name = name
        self.ip = ip
        self.port = port
        self.record = record
        self.is_faulty = is_faulty
        self.running = 0
        self.ran = {}
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.spoils = False
        self.answers = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    def row(self):
        self.sequence += 1
        return json.dumps({"service": "wuno96b", "address": f"{self.ip}:{self.port}", "zone": "z-a", "version": "v1", "slots": SLOTS,
                           "state": "ready", "cold_left_ms": 0, "seq": self.sequence, "born": self.born})

    async def serve(self, reader, writer):
        try:
            request = await read_request(reader)
            if request is None:
                return
            attempt = request.field("Attempt-Id")
            if request.field("Expect-Instance") != self.name:
                writer.write(response(421, "Misdirected Request", {"Instance-Id": self.name}, b""))
                return
            if self.running >= SLOTS:
                writer.write(response(503, "Service Unavailable", {"Attempt-Id": attempt, "Not-Executed": "1"}, b""))
                return
            self.running += 1
            self.ran[attempt] = self.ran.get(attempt, 0) + 1
            self.record.write(f"{self.name}: runs {attempt}")
            try:
                await asyncio.sleep(WORK_S)
            finally:
                self.running -= 1
            fields = {"Attempt-Id": attempt, "Server-Seal": "3e1b.07.5a2.600.0." + attempt[-8:], "Server-Load": f"{self.running},0,{SLOTS}"}
            self.answers += 1 if self.spoils else 0
            if self.spoils and self.answers % ANSWERS_PER_SPOILT == ANSWERS_PER_SPOILT // 2:
                self.record.write(f"{self.name}: spoils its answer to {attempt}")
                writer.write(self.spoilt(fields))
            else:
                writer.write(response(200, "OK", fields, b"x" * 800))
            await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    @staticmethod
    def spoilt(fields):
        head = "HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "Transfer-Encoding: chunked\r\n\r\n"
        body = b"320\r\n" + b"x" * 800 + b"\r\n"
        garbage = b"0\r\nq: " + bytes(random.choices(b"abcdefghijklmnopqrstuvwxyz", k=SPOILT_BYTES)) + b"\r\n\r\n"
        return head.encode("latin-1") + body + garbage


class Client:
    """Sends one request after the other on a kept channel. Does what the pages say of clients after a closed channel: it goes on
    with other requests on a new one."""

    def __init__(self, installation, entry, number):
        self.installation = installation
        self.entry = entry
        self.number = number
        self.answered = 0
        self.lost = []

    async def run(self, end):
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(self.entry.ip, self.installation.front_port)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            is_kept = False
            try:
                while time.monotonic() < end:
                    answered, closes = await self.ask(reader, writer, is_kept)
                    if not answered or closes:
                        break
                    is_kept = True
                    await asyncio.sleep(random.uniform(0.05, 0.2))
            finally:
                writer.close()

    async def ask(self, reader, writer, is_kept):
        attempt = self.installation.next_attempt()
        method, path = ("POST", "/puxa403/2f") if random.random() < 0.6 else ("GET", "/cufi504/2f")
        record = self.installation.record
        record.write(f"client {self.number}: sends {attempt} {method} {path} to {self.entry.name}" + (" on a kept channel" if is_kept else ""))
        try:
            writer.write(request_bytes(method, path, attempt, 1000, body=b"b" * 600 if method == "POST" else b""))
            async with asyncio.timeout(1.5):
                await writer.drain()
                status, fields = await read_head(reader)
                await read_body(reader, fields)
        except (asyncio.TimeoutError, TimeoutError):
            record.write(f"client {self.number}: {attempt} has no answer in time")
            return False, True
        except (OSError, asyncio.IncompleteReadError):
            record.write(f"client {self.number}: the channel of {attempt} was closed without an answer")
            if is_kept:
                self.lost.append(attempt)
            return False, True
        record.write(f"client {self.number}: {attempt} was answered {status}")
        self.answered += 1
        return True, fields.get("connection", "").lower() == "close"


async def supervise(entry):
    while True:
        await entry.wait()
        await asyncio.sleep(RESTART_S)
        await entry.start()


async def beat(store, runners):
    while True:
        for runner in runners:
            await store.put("servers", runner.name, runner.row())
        await asyncio.sleep(HEARTBEAT_S)


async def case():
    async with Installation(FOLDER, entries=ENTRIES) as installation:
        record = installation.record
        sound = [Runner(f"i-sound{n}", installation.address_of(100 + n), installation.runner_port, record, False) for n in (1, 2)]
        faulty = Runner("i-faulty", installation.address_of(110), installation.runner_port, record, True)
        runners = sound + [faulty]
        for runner in runners:
            await runner.start()
        await installation.put_configuration(CONFIGURATION_ROUTES, SERVICES)
        installation.run_in_background(beat(installation.store, runners))
        await installation.start_entries()
        for entry in installation.entries:
            installation.run_in_background(supervise(entry))
            if not await installation.wait_ready(entry, 10):
                raise CannotRun(f"{entry.name} is not ready")
        await asyncio.sleep(BEFORE_S)
        end = time.monotonic() + TRAFFIC_S
        clients = [Client(installation, installation.entries[n % ENTRIES], n) for n in range(CLIENTS)]
        tasks = [asyncio.ensure_future(client.run(end)) for client in clients]
        await asyncio.sleep(4)
        if trouble_wanted():
            faulty.spoils = True
            record.write("trouble: i-faulty spoils a share of its answers from now on")
        await asyncio.gather(*tasks)
        answered = sum(client.answered for client in clients)
        lost = [attempt for client in clients for attempt in client.lost if any(attempt in runner.ran for runner in sound)]
        ends = sum(len(entry.ends) for entry in installation.entries)
        record.write(f"answered {answered}; entries ended by themselves {ends} times; passed on to a sound runner from a kept channel and "
                     f"closed without an answer: {len(lost)}, allowed {LOST_ALLOWED}")
        print(f"answered {answered}, own ends {ends}, lost {len(lost)}")
        if answered < 100 and not trouble_wanted():
            raise CannotRun("too few answers")
        return len(lost) > LOST_ALLOWED


play(case, FOLDER)
