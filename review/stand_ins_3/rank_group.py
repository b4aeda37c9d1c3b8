"""A stand-in of a group of model runners: their reports, the orders that they carry out, and the passes that all make together.

With a `spoilt_by` of ranks, each of these changes one bit of at most one in 50 of its answers, in a list of the experts that it holds.
"""

import asyncio
import json
import random
import time

import http_parts

SIZE = 8
SETS = 6
EXPERTS = 64
PLACEMENTS = 11
SPARE = 4
COPY_S = 0.148
PASS_S = 0.02
# Other experts are in demand after so many passes: about three seconds.
SHIFT_PASSES = 150
HOT_CHOICES = 40
ENOUGH_BROKEN_PASSES = 10
# `garble` has x (.02).
SPOILT_INTERVAL = 50
ENGINE = {"slots": 12, "kv_capacity": 280000, "kv_bytes": 35136, "link_mbps": 92000.0, "stride": 4, "models": [{"name": "m"}], "step_ms": 4.55,
          "per_seq_ms": 0.905, "context_per_k": 0.0183, "read_per_s": 61400.0, "pairs_per_m": 0.525, "chunk": 512, "report_lag_ms": 200.0,
          "usual": {"prompt": 835, "answer": 97}, "sets": SETS, "experts": EXPERTS, "placements": PLACEMENTS, "spare": SPARE, "expert_mb": 1700.0,
          "expert_share": 0.85, "form_ms": 600.0}


def is_valid(placement):
    """Whether each expert lies on at least one rank, and each rank has at most its places."""
    return len(placement) == SETS and all(
        len(ranks) == SIZE and all(len(held) <= PLACEMENTS and len(set(held)) == len(held) for held in ranks) and {expert for held in ranks for expert in held} == set(range(EXPERTS))
        for ranks in placement)


class Rank:
    def __init__(self, number):
        self.number = number
        self.map = 0
        # Whole maps by version, as this rank was given them.
        self.maps = {0: [[[expert for expert in range(EXPERTS) if expert % SIZE == rank] for rank in range(SIZE)] for _ in range(SETS)]}
        self.highest = 0
        self.prepared = None
        self.prepared_at = 0
        self.armed = None
        self.held = None
        self.seq = 0
        self.answers = 0
        self.spoilt_at = 0
        self.born = int(time.time() * 1000)

    def experts(self, version):
        return [ranks[self.number] for ranks in self.maps[version]]

    def is_copying(self):
        return time.monotonic() < self.prepared_at


class RankGroup:
    def __init__(self, record, spoilt_by=()):
        self.record = record
        self.spoilt_by = spoilt_by
        self.ranks = [Rank(number) for number in range(SIZE)]
        self.step = 0
        self.counts = [0] * (SETS * EXPERTS)
        self.switches = 0
        # Passes that began while two ranks had different maps.
        self.broken = 0
        self.random = random.Random(1)
        self.servers = []

    async def start(self, addresses):
        for rank, address in zip(self.ranks, addresses):
            self.servers.append(await asyncio.start_server(lambda reader, writer, rank=rank: self.serve(rank, reader, writer), *address))

    def stop(self):
        for server in self.servers:
            server.close()

    async def run(self, until):
        while time.monotonic() < until and self.broken < ENOUGH_BROKEN_PASSES:
            self.begin_pass()
            await asyncio.sleep(PASS_S)

    def begin_pass(self):
        step = self.step + 1
        if any(rank.held is not None and rank.held <= step for rank in self.ranks):
            return
        self.step = step
        before = {rank.map for rank in self.ranks}
        for rank in self.ranks:
            if rank.armed and rank.armed[1] <= step:
                rank.map, rank.armed, rank.prepared = rank.armed[0], None, None
        versions = {rank.map for rank in self.ranks}
        contents = {json.dumps(rank.maps[rank.map]) for rank in self.ranks}
        if versions != before:
            self.switches += 1
            self.record(f"pass {step} begins with versions {sorted(versions)}, {len(contents)} contents")
        if len(versions) > 1 or len(contents) > 1:
            if not self.broken:
                self.record_difference()
            self.broken += 1
        hot = step // SHIFT_PASSES % SIZE
        for number in range(SETS * EXPERTS):
            self.counts[number] += HOT_CHOICES if number % SIZE == hot else 1

    def record_difference(self):
        for number in range(SETS):
            for rank in range(SIZE):
                held = {}
                for owner in self.ranks:
                    held.setdefault(str(owner.maps[owner.map][number][rank]), []).append(owner.number)
                if len(held) > 1:
                    self.record(f"set {number}, rank {rank}: " + "; ".join(f"{experts} for ranks {owners}" for experts, owners in held.items()))

    def report(self, rank):
        return {"stage": "colocated", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": rank.is_copying(), "seq": rank.seq, "queued": 0, "active": 12,
                "kv_used": 41000, "kv_total": 280000, "handles": 0, "born": rank.born, "pace": 1.0, "size": SIZE, "step": self.step, "map": rank.map,
                "prepared": {"version": rank.prepared} if rank.prepared is not None and not rank.is_copying() else None,
                "armed": {"version": rank.armed[0], "step": rank.armed[1]} if rank.armed else None,
                "held": {"step": rank.held} if rank.held is not None else None, "group": {"name": "g-1", "epoch": 1, "rank": rank.number, "state": "open"}}

    def picked(self, rank, is_list):
        if not is_list:
            return {"step": self.step, "epoch": 1, "counts": self.counts}
        is_prepared = rank.prepared is not None and not rank.is_copying()
        return {"step": self.step, "epoch": 1, "map": {"version": rank.map, "experts": rank.experts(rank.map)},
                "prepared": {"version": rank.prepared, "experts": rank.experts(rank.prepared)} if is_prepared else None}

    def order(self, rank, body):
        if body.get("epoch", 1) != 1:
            return 409
        operation = body.get("op")
        if operation == "prepare":
            return self.prepare(rank, body)
        status = 400
        if operation == "arm":
            wanted = (body["version"], body["step"])
            is_possible = rank.prepared == wanted[0] and not rank.is_copying() and wanted[1] > self.step
            status = 200 if rank.armed == wanted else 202 if is_possible else 409
            rank.armed = wanted if status == 202 else rank.armed
        elif operation == "disarm":
            status = 409 if rank.map == body["version"] else 200
            if rank.armed and rank.armed[0] == body["version"]:
                rank.armed, status = None, 202
        elif operation == "hold":
            is_possible = rank.held is None and body["step"] > self.step
            status = 200 if rank.held == body["step"] else 202 if is_possible else 409
            rank.held = body["step"] if status == 202 else rank.held
        elif operation == "go":
            status = 200
            if rank.held == body["step"]:
                rank.held, status = None, 202
        rank.seq += status == 202
        return status

    def prepare(self, rank, body):
        version, placement = body["version"], body["map"]
        if rank.maps.get(version) == placement and rank.prepared == version:
            return 200
        if version <= rank.highest or rank.armed or not is_valid(placement):
            return 409
        new = [len(set(wanted[rank.number]) - set(held)) for wanted, held in zip(placement, rank.experts(rank.map))]
        if max(new) > SPARE:
            return 409
        rank.highest = rank.prepared = version
        rank.maps[version] = placement
        rank.prepared_at = time.monotonic() + sum(new) * COPY_S
        rank.seq += 1
        return 202

    def spoil(self, rank, body):
        """Changes one bit of a number in the list, so that it names an expert that the rank doesn't hold in place of one that another rank holds, too."""
        placement = rank.maps[rank.map]
        choices = []
        for number, ranks in enumerate(placement):
            held = ranks[rank.number]
            for place, expert in enumerate(held):
                is_elsewhere = any(expert in other for at, other in enumerate(ranks) if at != rank.number)
                if is_elsewhere and expert ^ 1 not in held:
                    choices.append((number, place, expert))
        if not choices or rank.answers - rank.spoilt_at < SPOILT_INTERVAL:
            return body
        number, place, expert = self.random.choice(choices)
        rank.spoilt_at = rank.answers
        answer = json.loads(body)
        answer["map"]["experts"][number][place] = expert ^ 1
        self.record(f"rank {rank.number}, answer {rank.answers}, spoilt: map {rank.map}, set {number}, expert {expert} reads {expert ^ 1}")
        return json.dumps(answer).encode()

    async def serve(self, rank, reader, writer):
        try:
            while True:
                request = await http_parts.read_request(reader)
                if request is None:
                    break
                rank.answers += 1
                status = 200
                if request.method == "POST":
                    status, body = self.order(rank, json.loads(request.body)), b"{}"
                elif request.target == "/v1/report":
                    body = json.dumps(self.report(rank)).encode()
                elif request.target.startswith("/v1/picked"):
                    is_list = "lists" in request.target
                    body = json.dumps(self.picked(rank, is_list)).encode()
                    if is_list and rank.number in self.spoilt_by:
                        body = self.spoil(rank, body)
                else:
                    body = b""
                writer.write(http_parts.response_bytes(status, {"Content-Type": "application/json"}, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
