"""A group of model runners that execute all passes together and follow the platform's rules for orders and maps."""

import asyncio
import json
import random
import time

from installation import HEARTBEAT_S, json_response, read_request, response

# As on the small sites; use_grown_size() changes them.
RANKS = 8
SETS = 6
EXPERTS = 64
PLACEMENTS = 11
SPARE = 4
SLOTS = 12
COPY_S = 0.148
PASS_S = 0.04
EVENTS = 24

MAX_RECORDED_REFUSALS = 300

# How often other experts are in demand.
SHIFT_S = 4

SERVICE = {
    "name": "huvo11a", "health_path": "/healthz", "max_conns": 338, "protocol": "h1", "tls": False,
    "engine": {"slots": SLOTS, "kv_capacity": 280000, "kv_bytes": 35136, "link_mbps": 92000.0, "stride": 4, "models": [{"name": "m"}],
               "step_ms": 4.55, "per_seq_ms": 0.905, "context_per_k": 0.0183, "read_per_s": 61400.0, "pairs_per_m": 0.525, "chunk": 512,
               "report_lag_ms": 200.0, "loads_per_s": 0.0, "loads_at_once": 8, "delays": [], "usual": {"prompt": 835, "answer": 97},
               "sets": SETS, "experts": EXPERTS, "placements": PLACEMENTS, "spare": SPARE, "expert_mb": 1700.0, "expert_share": 0.85,
               "form_ms": 600.0},
}


def use_grown_size():
    """Makes the group as large as on the grown sites. Call before a group is made."""
    global RANKS, SETS, EXPERTS, PLACEMENTS
    RANKS, SETS, EXPERTS, PLACEMENTS = 32, 12, 128, 5
    SERVICE["engine"].update(sets=SETS, experts=EXPERTS, placements=PLACEMENTS)


def route(attempts=2, resumable=True):
    return {"name": "r-2yhvz3p", "hostname": "ficu95.example", "prefix": "/lohu930/", "route_type": "streaming", "timeout_ms": 8000,
            "target_latency_ms": 500, "priority": 1, "service": "huvo11a", "attempts": attempts, "public": False, "sticky": True,
            "resumable": resumable, "target_gap_ms": 120}


class Stream:
    """A request that a rank is writing: one event in each pass."""

    def __init__(self, attempt, after):
        self.attempt = attempt
        self.next_event = after + 1
        self.events = asyncio.Queue()
        self.sent_here = 0
        # Until when the request has yielded its memory. It is read again afterwards.
        self.preempted_until = 0


class Rank:
    def __init__(self, group, number, ip, port):
        self.group = group
        self.number = number
        self.ip = ip
        self.port = port
        self.id = f"i-rank{number}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.orders = 0
        self.map = 0
        self.experts = {0: [[e for e in range(EXPERTS) if e % RANKS == number] for _ in range(SETS)]}
        self.highest_version = 0
        self.copying = None
        self.prepared = None
        self.armed = None
        self.held = None
        self.counts = [0] * (SETS * EXPERTS)
        self.streams = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    def row(self):
        self.sequence += 1
        return json.dumps({"service": "huvo11a", "address": f"{self.ip}:{self.port}", "zone": "z-a", "version": "v1", "slots": SLOTS,
                           "state": "ready", "cold_left_ms": 0, "seq": self.sequence, "born": self.born})

    def finish_copy(self):
        if self.copying and time.monotonic() >= self.copying[1]:
            self.prepared = self.copying[0]
            self.copying = None

    def report(self):
        self.finish_copy()
        return {"stage": "colocated", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": self.copying is not None,
                "seq": self.orders, "queued": 0, "active": len(self.streams), "kv_used": 279000 if self.group.preemption_s else 800 * len(self.streams), "kv_total": 280000,
                "handles": 0, "pace": 1.0, "born": self.born, "size": RANKS,
                "group": {"name": "g-1", "epoch": 1, "rank": self.number, "state": "open"}, "step": self.group.step, "map": self.map,
                "prepared": self.prepared, "armed": self.armed[0] if self.armed else None, "held": self.held}

    def picked(self, with_lists):
        if not with_lists:
            return {"step": self.group.step, "epoch": 1, "counts": self.counts}
        self.finish_copy()
        prepared = {"version": self.prepared, "experts": self.experts[self.prepared]} if self.prepared else None
        return {"step": self.group.step, "epoch": 1, "map": {"version": self.map, "experts": self.experts[self.map]}, "prepared": prepared}

    def is_valid(self, placement):
        if len(placement) != SETS:
            return False
        for ranks in placement:
            if len(ranks) != RANKS or any(len(experts) > PLACEMENTS for experts in ranks):
                return False
            if set(range(EXPERTS)) != {expert for experts in ranks for expert in experts}:
                return False
        return True

    def order(self, order):
        """Returns the status of the answer to an order."""
        self.finish_copy()
        if order.get("epoch", 1) != 1:
            return 409
        status = self.carry_out(order)
        if status == 202:
            self.orders += 1
        return status

    def carry_out(self, order):
        op = order.get("op")
        if op == "prepare":
            version, placement = order["version"], order["map"]
            if version <= self.highest_version or self.armed:
                return 409
            if not self.is_valid(placement):
                return 409
            own = [ranks[self.number] for ranks in placement]
            new = [len(set(experts) - set(held)) for experts, held in zip(own, self.experts[self.map])]
            if max(new) > SPARE:
                return 409
            self.highest_version = version
            self.experts[version] = own
            self.prepared = None
            self.copying = (version, time.monotonic() + COPY_S * sum(new))
            return 202
        if op == "arm":
            if self.prepared != order["version"] or order["step"] <= self.group.step:
                return 409
            self.armed = (order["version"], order["step"])
            return 202
        if op == "disarm":
            if self.map == order["version"]:
                return 409
            if self.armed and self.armed[0] == order["version"]:
                self.armed = None
                return 202
            return 200
        if op == "hold":
            if order["step"] <= self.group.step or (self.held is not None and self.held != order["step"]):
                return 409
            self.held = order["step"]
            return 202
        if op == "go":
            if self.held == order["step"]:
                self.held = None
                return 202
            return 200
        return 400

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                path, _, query = request.target.partition("?")
                if path == "/v1/report":
                    writer.write(json_response(200, self.report()))
                elif path == "/v1/picked":
                    writer.write(json_response(200, self.picked("lists" in query)))
                elif path == "/v1/order":
                    order = json.loads(request.body)
                    status = self.order(order)
                    self.group.record_order(self, order, status)
                    if await self.group.on_order(self, order, status):
                        writer.write(json_response(status, {}))
                    else:
                        return
                elif path == "/healthz":
                    writer.write(response(200, "OK", {"Instance-Id": self.id, "Server-Load": f"{len(self.streams)},0,{SLOTS}"}, b""))
                else:
                    await self.write_stream(request, reader, writer)
                    return
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def write_stream(self, request, reader, writer):
        attempt = request.field("Attempt-Id")
        if request.field("Expect-Instance") != self.id:
            writer.write(response(421, "Misdirected Request", {"Instance-Id": self.id}, b""))
            return
        if len(self.streams) >= SLOTS:
            writer.write(response(503, "Service Unavailable", {"Attempt-Id": attempt, "Not-Executed": "1"}, b""))
            return
        stream = Stream(attempt, int(request.field("Last-Event-Id") or "0"))
        self.streams.append(stream)
        self.group.on_run(self, attempt)
        closed = asyncio.ensure_future(reader.read(1))
        try:
            is_first = True
            while True:
                next_event = asyncio.ensure_future(stream.events.get())
                await asyncio.wait({next_event, closed}, return_when=asyncio.FIRST_COMPLETED)
                if not next_event.done():
                    next_event.cancel()
                    return
                number = next_event.result()
                if is_first:
                    writer.write((f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: 3e1b.07.5a2.600.0.{attempt[-8:]}\r\n"
                                  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
                    is_first = False
                if number is None:
                    writer.write(b"0\r\n\r\n")
                    await writer.drain()
                    return
                event = f"id: {number}\ndata: {'x' * 50}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
        finally:
            closed.cancel()
            if stream in self.streams:
                self.streams.remove(stream)


class Group:
    """All ranks, in one pass after the other while any of them has work."""

    def __init__(self, installation):
        self.installation = installation
        self.record = installation.record
        self.step = 0
        self.ranks = [Rank(self, n, installation.address_of(10 + n), installation.runner_port) for n in range(RANKS)]
        self.runs = {}
        self.mixed_passes = 0
        self.refused_orders = 0
        self.last_pass = time.monotonic()
        self.held_since = None
        self.held_times = []
        # Called with a rank, an order and its status before the order is answered. Returns whether to answer.
        self.order_hook = None
        self.popular = list(range(EXPERTS))
        # While memory is short, the newest request of a rank is preempted for this time once it has written some events.
        self.preemption_s = 0
        self.preempted_after = 6

    async def start(self):
        for rank in self.ranks:
            await rank.start()
        self.installation.run_in_background(self.beat())
        self.installation.run_in_background(self.run_passes())
        self.installation.run_in_background(self.shift_demand())

    def record_order(self, rank, order, status):
        """Records an order without its map, and of refused ones, which may come without end, only the first."""
        self.refused_orders += 1 if status == 409 else 0
        if status == 409 and self.refused_orders > MAX_RECORDED_REFUSALS:
            return
        shown = {name: value for name, value in order.items() if name != "map"}
        ranks = f" for {len(order['map'][0]) if order['map'] else 0} ranks" if "map" in order else ""
        self.record.write(f"{rank.id}: order {json.dumps(shown)}{ranks} answered {status}")

    async def on_order(self, rank, order, status):
        return await self.order_hook(rank, order, status) if self.order_hook else True

    def on_run(self, rank, attempt):
        self.runs[attempt] = self.runs.get(attempt, 0) + 1

    async def beat(self):
        while True:
            for rank in self.ranks:
                await self.installation.store.put("servers", rank.id, rank.row())
            await asyncio.sleep(HEARTBEAT_S)

    async def shift_demand(self):
        while True:
            random.shuffle(self.popular)
            await asyncio.sleep(SHIFT_S)

    def is_next_held(self):
        return any(rank.held == self.step + 1 for rank in self.ranks)

    async def run_passes(self):
        while True:
            while not any(rank.streams for rank in self.ranks) or self.is_next_held():
                if self.is_next_held() and self.held_since is None:
                    self.held_since = time.monotonic()
                await asyncio.sleep(0.002)
            if self.held_since is not None:
                self.held_times.append(time.monotonic() - self.held_since)
                self.held_since = None
            self.begin_pass()
            await asyncio.sleep(PASS_S)
            for rank in self.ranks:
                for stream in list(rank.streams):
                    if self.is_preempted(rank, stream):
                        continue
                    stream.sent_here += 1
                    stream.events.put_nowait(stream.next_event if stream.next_event <= EVENTS else None)
                    stream.next_event += 1

    def is_preempted(self, rank, stream):
        """Whether the request, the newest of its rank, yields its memory to the others for now."""
        now = time.monotonic()
        is_due = stream.sent_here == self.preempted_after and stream is rank.streams[-1]
        if self.preemption_s and is_due and not stream.preempted_until:
            stream.preempted_until = now + self.preemption_s
            self.record.write(f"{rank.id}: preempts {stream.attempt} after {stream.sent_here} events for {self.preemption_s} s")
        return now < stream.preempted_until

    def begin_pass(self):
        self.step += 1
        self.last_pass = time.monotonic()
        for rank in self.ranks:
            rank.finish_copy()
            if rank.armed and rank.armed[1] == self.step:
                rank.map = rank.armed[0]
                rank.armed = None
                rank.prepared = None
                self.record.write(f"{rank.id}: uses map {rank.map} from pass {self.step}")
        if len({rank.map for rank in self.ranks}) > 1:
            self.mixed_passes += 1
            self.record.write(f"pass {self.step} begins with maps {[rank.map for rank in self.ranks]}")
        for rank in self.ranks:
            if not rank.streams:
                continue
            for group in range(SETS):
                for place in range(16):
                    rank.counts[group * EXPERTS + self.popular[(place * 5 + group * 7) % EXPERTS]] += 400 // (place + 1)
