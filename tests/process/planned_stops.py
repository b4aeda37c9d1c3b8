"""Stops and starts entries in turn, as planned work does, while clients keep using their channels, and checks every answer.

Real processes of sardinelb-fleet run on loopback addresses beside stand-ins for the store, the runners and the platform's front. Some
clients send their requests slowly, so that requests are complete at every moment of a stop. The store may go away meanwhile. Checked are,
by the users' rules: LOST, TWICE, REFUSED, BUDGET, and that each answer is whole and belongs to its request.

One line a run; exits with 1 if a rule was broken, and then keeps the record in the folder that --keep names.
"""

import argparse
import asyncio
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "review", "stand_ins"))
import installation as stand_ins  # noqa: E402
import rank_group  # noqa: E402
from installation import BOUNDS, HEARTBEAT_S, CannotRun, Installation, Store, read_body, read_head, read_request, request_bytes, response  # noqa: E402

ENTRIES = 3
RUNNERS = 8
SLOTS = 12
CLIENTS = 60
RESTART_S = 0.5
GRACE_S = BOUNDS["grace_s"]
# Planned work that reaches the last sixth of the grace excuses requests that were sent no later than this.
EXCUSED_SENT_S = 3

PLAIN_SERVICE = "wuno96b"
# Name, path, type, time-out of the route in ms, work of the runner in s.
PLAIN_ROUTES = [
    ("book", "/puxa403/", "unsafe", 1500, (0.05, 0.4)),
    ("long", "/lona117/", "unsafe", 8000, (0.05, 5)),
    ("check", "/cufi504/", "safe", 1500, (0.05, 0.4)),
]
STREAM_PATH = "/lohu930/"
STREAM_TIMEOUT_MS = 8000


def configuration():
    routes = [{"name": name, "hostname": stand_ins.HOST, "prefix": path, "route_type": kind, "timeout_ms": timeout, "target_latency_ms": 100,
               "priority": 1, "service": PLAIN_SERVICE, "attempts": 2 if kind == "safe" else 1, "public": False, "sticky": False}
              for name, path, kind, timeout, _ in PLAIN_ROUTES]
    plain = {"name": PLAIN_SERVICE, "health_path": "/healthz", "max_conns": 200, "protocol": "h1", "tls": False}
    return routes + [rank_group.route()], [plain, rank_group.SERVICE]


class FaultyStore(Store):
    """A store that closes every channel while it is down."""

    is_down = False

    async def serve(self, reader, writer):
        if self.is_down:
            writer.close()
            return
        await super().serve(reader, writer)


class Runner:
    """A sound runner of the plain service. Some of its work takes seconds."""

    def __init__(self, soak, number):
        self.soak = soak
        self.name = f"i-plain{number}"
        self.ip = soak.installation.address_of(100 + number)
        self.port = soak.installation.runner_port
        self.running = 0
        self.sequence = 0
        self.born = int(time.time() * 1000)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    def row(self):
        self.sequence += 1
        return json.dumps({"service": PLAIN_SERVICE, "address": f"{self.ip}:{self.port}", "zone": "z-a", "version": "v1", "slots": SLOTS,
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
            self.soak.arrivals[PLAIN_SERVICE].append((time.monotonic(), attempt))
            if self.running >= SLOTS:
                writer.write(response(503, "Service Unavailable", {"Attempt-Id": attempt, "Not-Executed": "1"}, b""))
                return
            run = self.soak.begin_run(attempt)
            if self.soak.is_failing():
                run["end"] = time.monotonic()
                writer.transport.abort()
                return
            self.running += 1
            try:
                await asyncio.sleep(float(request.field("X-Work-S") or "0.05"))
            finally:
                self.running -= 1
                run["end"] = time.monotonic()
            writer.write(response(200, "OK", {"Attempt-Id": attempt, "Server-Seal": "s." + attempt, "Server-Load": f"{self.running},0,{SLOTS}"}, attempt.encode() * 50))
            await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()


class Front:
    """The platform's balancer: asks each entry once a second and leaves out those that missed twice."""

    def __init__(self, soak):
        self.soak = soak
        self.misses = {}

    async def watch(self):
        while True:
            await asyncio.gather(*(self.ask(entry) for entry in self.soak.installation.entries))
            await asyncio.sleep(1)

    async def ask(self, entry):
        call = b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        status, _, _ = await stand_ins.plain_call(entry.ip, self.soak.installation.ready_port, call, 0.9)
        self.misses[entry.name] = 0 if status == 200 else self.misses.get(entry.name, 0) + 1

    def pick(self):
        entries = self.soak.installation.entries
        ready = [entry for entry in entries if self.misses.get(entry.name, 0) < 2]
        return random.choice(ready if len(ready) * 2 >= len(entries) else entries)


class Client:
    """Sends one request after the other, on a kept channel while there is one."""

    def __init__(self, soak, number):
        self.soak = soak
        self.number = number

    async def run(self, end):
        while time.monotonic() < end:
            entry = self.soak.front.pick()
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(entry.ip, self.soak.installation.front_port), 1)
            except (OSError, asyncio.TimeoutError, TimeoutError):
                await asyncio.sleep(0.1)
                continue
            try:
                while time.monotonic() < end and not reader.at_eof() and await self.ask(entry, reader, writer):
                    await asyncio.sleep(random.uniform(0.05, 0.4))
            finally:
                writer.close()

    async def ask(self, entry, reader, writer):
        """Returns whether the channel can be kept."""
        soak = self.soak
        attempt = f"{soak.seed:06x}{soak.installation.next_attempt()[6:]}"
        is_stream = random.random() < 0.3
        if is_stream:
            kind, path, timeout, extra = "stream", STREAM_PATH, STREAM_TIMEOUT_MS, f"Model: m\r\nToken-Usage: 700,96\r\nPrefix-Hash: 5c1e07a2:40,{attempt}:660\r\n"
        else:
            kind, path, _, timeout, work = random.choice(PLAIN_ROUTES)
            extra = f"X-Work-S: {random.uniform(*work):.3f}\r\n"
        size = random.choice([60, 700, 5000, 30000])
        bytes_to_send = request_bytes("POST", path + "x", attempt, timeout, extra, b"b" * size)
        pause = random.choice([0.3, 2, 4]) if self.soak.has_slow_clients and self.number % 3 == 0 and random.random() < 0.5 else 0
        asked = {"attempt": attempt, "kind": kind, "entry": entry.name, "begun": time.monotonic(), "timeout": timeout / 1000, "sent": None, "outcome": "", "closes": False}
        soak.requests.append(asked)
        try:
            writer.write(bytes_to_send[:-30])
            await asyncio.sleep(pause)
            writer.write(bytes_to_send[-30:])
            asked["sent"] = time.monotonic()
            async with asyncio.timeout(timeout / 1000 + 2):
                await self.receive(asked, reader)
        except (asyncio.TimeoutError, TimeoutError):
            asked["outcome"] = "no answer in time"
        except (OSError, asyncio.IncompleteReadError):
            asked["outcome"] = "closed"
        except ValueError as error:
            asked["outcome"] = f"malformed: {error}"
        asked["end"] = time.monotonic()
        return asked["outcome"].isdigit() and not asked["closes"]

    @staticmethod
    async def receive(asked, reader):
        status, fields = await read_head(reader)
        asked["closes"] = fields.get("connection", "").lower() == "close"
        body = await read_body(reader, fields)
        if fields.get("attempt-id") != asked["attempt"]:
            raise ValueError(f"answer to {fields.get('attempt-id')}")
        if status == 200 and asked["kind"] == "stream":
            ids = [int(line[4:]) for line in body.decode().split("\n") if line.startswith("id: ")]
            if ids != list(range(1, rank_group.EVENTS + 1)):
                raise ValueError(f"events {ids}")
        elif status == 200 and body != asked["attempt"].encode() * 50:
            raise ValueError("body of another request")
        asked["outcome"] = str(status)


class Soak:
    def __init__(self, seed, seconds, folder, has_slow_clients, has_failing_runners):
        self.seed = seed
        self.has_failing_runners = has_failing_runners
        self.is_failing_phase = False
        self.excused = {}
        self.has_slow_clients = has_slow_clients
        self.seconds = seconds
        self.installation = Installation(folder, entries=ENTRIES)
        self.installation.store = FaultyStore(self.installation.store.address, self.installation.record)
        self.front = Front(self)
        self.requests = []
        self.group = None
        self.runs = {}
        self.arrivals = {PLAIN_SERVICE: [], rank_group.SERVICE["name"]: []}
        # By entry: when each SIGTERM was sent.
        self.stops = {}
        self.stopped_processes = set()
        self.own_ends = []
        self.clients = CLIENTS

    def is_failing(self):
        """Whether a runner resets the connection of the next request. Phases of this begin and end as the stops do."""
        return self.has_failing_runners and self.is_failing_phase and random.random() < 0.6

    def begin_run(self, attempt):
        run = {"begin": time.monotonic(), "end": None}
        self.runs.setdefault(attempt, []).append(run)
        return run

    async def supervise(self, entry):
        """Restarts the process whenever it ends, as the platform does. An end without SIGTERM, or by a fault after it, is its own."""
        while True:
            status = await entry.wait()
            is_stopped = entry.process.pid in self.stopped_processes
            if not is_stopped or status not in (0, -signal.SIGKILL):
                self.own_ends.append((entry.name, status))
            await asyncio.sleep(RESTART_S)
            await entry.start()

    async def stop(self, entry):
        self.stops.setdefault(entry.name, []).append(time.monotonic())
        process = entry.process
        self.stopped_processes.add(process.pid)
        entry.signal(signal.SIGTERM)
        await asyncio.sleep(GRACE_S)
        if entry.process is process and process.returncode is None:
            entry.signal(signal.SIGKILL)

    async def disturb(self, end):
        """Planned stops in turn. Some overlap, and during some the store goes away."""
        entries = list(self.installation.entries)
        while time.monotonic() + GRACE_S + 2 < end:
            random.shuffle(entries)
            # A sound runner that is short of memory preempts its newest stream.
            self.group.preemption_s = random.choice([0, 0.8, 1.4, 1.8])
            self.is_failing_phase = not self.is_failing_phase
            stops = [asyncio.ensure_future(self.stop(entries[0]))]
            if random.random() < 0.4:
                await asyncio.sleep(random.uniform(0.5, 4))
                stops.append(asyncio.ensure_future(self.stop(entries[1])))
            if random.random() < 0.3:
                await asyncio.sleep(random.uniform(0, 2))
                self.installation.store.is_down = True
                self.installation.record.write("the store is down")
                await asyncio.sleep(random.uniform(0.5, 2))
                self.installation.store.is_down = False
            await asyncio.gather(*stops)
            await asyncio.sleep(random.uniform(0.5, 2))

    async def beat(self, runners):
        while True:
            for runner in runners:
                await self.installation.store.put("servers", runner.name, runner.row())
            await asyncio.sleep(HEARTBEAT_S)

    def follow_group(self, group):
        """Records the runs of the group: the group itself only counts them."""
        write_stream = rank_group.Rank.write_stream

        async def recorded(rank, request, reader, writer):
            attempt = request.field("Attempt-Id")
            self.arrivals[rank_group.SERVICE["name"]].append((time.monotonic(), attempt))
            run = {"begin": time.monotonic(), "end": None, "is_run": group.runs.get(attempt, 0)}
            self.runs.setdefault(attempt, []).append(run)
            try:
                if self.is_failing():
                    asyncio.get_running_loop().call_later(random.uniform(0.1, 0.8), writer.transport.abort)
                await write_stream(rank, request, reader, writer)
            finally:
                run["end"] = time.monotonic()
                if group.runs.get(attempt, 0) == run["is_run"]:
                    self.runs[attempt].remove(run)

        rank_group.Rank.write_stream = recorded

    async def play(self):
        async with self.installation:
            runners = [Runner(self, number) for number in range(RUNNERS)]
            for runner in runners:
                await runner.start()
            group = self.group = rank_group.Group(self.installation)
            self.follow_group(group)
            await group.start()
            await self.installation.put_configuration(*configuration())
            self.installation.run_in_background(self.beat(runners))
            await self.installation.start_entries()
            for rank in group.ranks:
                await self.installation.start_agent(10 + rank.number)
            for entry in self.installation.entries:
                if not await self.installation.wait_ready(entry, 20):
                    raise CannotRun(f"{entry.name} is not ready")
                self.installation.run_in_background(self.supervise(entry))
            self.installation.run_in_background(self.front.watch())
            await asyncio.sleep(BOUNDS["stable_window_ms"] / 1000)
            end = time.monotonic() + self.seconds
            clients = [Client(self, number) for number in range(self.clients)]
            await asyncio.gather(self.disturb(end), *(client.run(end) for client in clients))

    def stop_before(self, request):
        """When the last SIGTERM before the end of a request was sent to its entry. Nothing if that is longer ago than the grace."""
        stops = [stop for stop in self.stops.get(request["entry"], []) if stop <= request["end"] <= stop + GRACE_S + 1]
        return stops[-1] if stops else None

    def is_excused(self, request, run):
        """Whether the rule on planned stops allows that this answer was cut."""
        stop = self.stop_before(request)
        if stop is None or request["sent"] > stop + EXCUSED_SENT_S:
            return False
        return run["end"] is not None and run["end"] >= stop + GRACE_S * 5 / 6

    def lost(self):
        """Requests that ended without an answer though no rule excuses it. Counts the excused ones by their reason."""
        lost = []
        self.excused = {"crossing": 0, "over deadline": 0, "long at work": 0}
        for request in self.requests:
            if request["outcome"] not in ("closed", "no answer in time") or request["sent"] is None:
                continue
            runs = self.runs.get(request["attempt"], [])
            late_s = request["end"] - request["sent"]
            is_crossing = not runs and late_s <= BOUNDS["loss_slack_ms"] / 1000
            is_over_deadline = request["end"] - request["begun"] >= request["timeout"]
            if self.has_failing_runners and runs:
                self.excused["runner broke off"] = self.excused.get("runner broke off", 0) + 1
            elif is_crossing:
                self.excused["crossing"] += 1
            elif request["outcome"] == "closed" and is_over_deadline:
                self.excused["over deadline"] += 1
            elif runs and self.is_excused(request, runs[-1]):
                self.excused["long at work"] += 1
            else:
                lost.append(request)
        return lost

    def twice(self):
        kinds = {request["attempt"]: request["kind"] for request in self.requests}
        return [attempt for attempt, runs in self.runs.items() if len(runs) > 1 and kinds.get(attempt) in ("book", "long")]

    def refused_though_run(self):
        promises = ("408", "421", "429", "503")
        return [r for r in self.requests if r["outcome"] in promises and self.runs.get(r["attempt"]) and r["kind"] in ("book", "long")]

    def malformed(self):
        return [request for request in self.requests if request["outcome"].startswith("malformed")]

    def worst_budget(self):
        """The largest number of repeats of a service in a window, over what is allowed."""
        worst = 0.0
        for service, arrivals in self.arrivals.items():
            is_stream = service != PLAIN_SERVICE
            asked = [r["begun"] for r in self.requests if (r["kind"] == "stream") == is_stream]
            seen = set()
            repeats = []
            for at, attempt in sorted(arrivals):
                if attempt in seen:
                    repeats.append(at)
                seen.add(attempt)
            window = 10
            for at in repeats:
                count = sum(1 for other in repeats if at - window < other <= at)
                requests = sum(1 for other in asked if at - window < other <= at)
                worst = max(worst, count / (BOUNDS["retry_ratio"] * requests + BOUNDS["retry_slack"]))
        return worst

    def describe(self, request):
        stop = self.stop_before(request)
        since = lambda at: "never" if at is None else f"{at - stop:.2f} s" if stop is not None else f"{at - request['begun']:.2f} s after its begin"  # noqa: E731
        runs = ", ".join(f"{since(run['begin'])} to {since(run['end'])}" for run in self.runs.get(request["attempt"], [])) or "none"
        return f"{request['kind']} {request['attempt']} at {request['entry']}: begun {since(request['begun'])}, sent {since(request['sent'])}, {request['outcome']} {since(request['end'])}, runs {runs} (times from SIGTERM)"


def make_root(build):
    """A folder with a deploy file that names the programs of `build`, for the stand-ins."""
    root = tempfile.mkdtemp(prefix="sardinelb-stops-")
    os.mkdir(os.path.join(root, "deploy"))
    with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as file:
        deploy = file.read().replace("target/", os.path.abspath(build) + "/")
    with open(os.path.join(root, "deploy/system.toml"), "w", encoding="utf-8") as file:
        file.write(deploy)
    return root


def play(seed, options):
    """Plays one run. Returns whether all rules held."""
    folder = tempfile.mkdtemp(prefix="sardinelb-record-")
    soak = Soak(seed, options.seconds, folder, not options.fast_clients, options.failing_runners)
    soak.clients = options.clients
    # The ports do not depend on the seed, so that two runs with one seed can be played beside each other.
    random.seed(seed)
    asyncio.run(soak.play())
    lost, twice, refused, malformed = soak.lost(), soak.twice(), soak.refused_though_run(), soak.malformed()
    budget = soak.worst_budget()
    outcomes = {}
    for request in soak.requests:
        outcomes[request["outcome"]] = outcomes.get(request["outcome"], 0) + 1
    stops = sum(len(times) for times in soak.stops.values())
    print(f"seed {seed}: {len(soak.requests)} requests, {stops} stops, lost {len(lost)}, twice {len(twice)}, refused though run {len(refused)}, "
          f"malformed {len(malformed)}, budget used {budget:.2f}, own ends {len(soak.own_ends)}, outcomes {dict(sorted(outcomes.items()))}, excused {soak.excused}", flush=True)
    for request in (lost + refused + malformed)[:12]:
        print("  " + soak.describe(request))
    is_held = not (lost or twice or refused or malformed or soak.own_ends) and budget <= 1
    if not is_held and options.keep:
        shutil.move(folder, os.path.join(options.keep, f"seed-{seed}"))
    else:
        shutil.rmtree(folder)
    return is_held


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True, help="the build folder")
    parser.add_argument("--seconds", type=float, default=35)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many, one after the other")
    parser.add_argument("--fast-clients", action="store_true", help="all clients send their requests at once")
    parser.add_argument("--failing-runners", action="store_true", help="runners reset most connections during every other stop; requests cut for it are no loss")
    parser.add_argument("--clients", type=int, default=CLIENTS)
    parser.add_argument("--keep", help="a folder for the records of runs that broke a rule")
    options = parser.parse_args()
    stand_ins.ROOT = make_root(options.build)
    try:
        held = [play(seed, options) for seed in range(options.seed, options.seed + options.seeds)]
    except CannotRun as error:
        print(f"could not run: {error}")
        sys.exit(2)
    finally:
        shutil.rmtree(stand_ins.ROOT)
    sys.exit(0 if all(held) else 1)


if __name__ == "__main__":
    main()
