"""All processes are killed while a switch of the expert map holds a pass, and start again. The group must serve again."""

import asyncio
import os
import random
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins"))
from installation import CannotRun, Installation, play, read_head, request_bytes, trouble_wanted  # noqa: E402
from rank_group import EVENTS, Group, SERVICE, route, use_grown_size  # noqa: E402

ENTRIES = 2
CLIENTS = 32
DOWN_S = 0.8
RECOVER_S = 12
BEFORE_S = 8
MEASURED_S = 10
DEADLINE_MS = 8000

# Clients abandon a stream after a silence of this length.
PATIENCE_S = 2


class Outcomes:
    """What became of the requests, by the time at which they were sent."""

    def __init__(self):
        self.all = []

    def share_served(self, begin, end):
        sent = [served for at, served in self.all if begin <= at < end]
        return len(sent), sum(sent)


async def client(installation, outcomes, end, number):
    record = installation.record
    while time.monotonic() < end:
        entry = random.choice(installation.entries)
        attempt = installation.next_attempt()
        at = time.monotonic()
        served, what = await stream(installation, entry, attempt)
        outcomes.all.append((at, served))
        record.write(f"client {number}: {attempt}, sent {time.monotonic() - at:.2f} s ago to {entry.name}: {what}")
        await asyncio.sleep(random.uniform(0.1, 0.5) if served else 0.5)


async def stream(installation, entry, attempt):
    """Returns whether the stream was served, and what was seen."""
    fields = f"Model: m\r\nToken-Usage: 700,96\r\nPrefix-Hash: 5c1e07a2:40,{attempt}:660\r\n"
    writer = None
    events = 0
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(entry.ip, installation.front_port)
            writer.write(request_bytes("POST", "/lohu930/2f", attempt, DEADLINE_MS, fields, b"p" * 700))
            async with asyncio.timeout(PATIENCE_S):
                status, _ = await read_head(reader)
            if status != 200:
                return False, f"status {status}"
            while True:
                async with asyncio.timeout(PATIENCE_S):
                    size = int(await reader.readuntil(b"\r\n"), 16)
                    part = await reader.readexactly(size + 2)
                if size == 0:
                    return events == EVENTS, f"complete with {events} events"
                events += part.count(b"id: ")
    except (TimeoutError, asyncio.TimeoutError):
        return False, f"given up after {events} events"
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return False, f"closed after {events} events"
    finally:
        if writer:
            writer.close()


async def case():
    use_grown_size()
    async with Installation(FOLDER, entries=ENTRIES) as installation:
        record = installation.record
        group = Group(installation)
        await group.start()
        await installation.put_configuration([route()], [SERVICE])
        await installation.start_entries()
        for rank in group.ranks:
            await installation.start_agent(10 + rank.number)
        for entry in installation.entries:
            if not await installation.wait_ready(entry, 10):
                raise CannotRun(f"{entry.name} is not ready")
        begin = time.monotonic()
        outcomes = Outcomes()
        fault = asyncio.Event()
        wanted = trouble_wanted()

        async def on_order(rank, order, status):
            due = wanted and not fault.is_set() and time.monotonic() - begin > BEFORE_S
            if due and order.get("op") == "hold" and status == 202:
                record.write(f"final fault: {rank.id} has accepted a hold; all processes are killed")
                for process in installation.processes:
                    process.signal(signal.SIGKILL)
                fault.set()
                return False
            return True

        group.order_hook = on_order
        clients = [asyncio.ensure_future(client(installation, outcomes, begin + 200, n)) for n in range(CLIENTS)]
        try:
            if wanted:
                await asyncio.wait_for(fault.wait(), 40)
            else:
                await asyncio.sleep(BEFORE_S)
        except (TimeoutError, asyncio.TimeoutError):
            raise CannotRun("no hold was ordered") from None
        struck = time.monotonic()
        if wanted:
            for process in installation.processes:
                await process.wait()
            await asyncio.sleep(DOWN_S)
            for process in installation.processes:
                await process.start()
        back = time.monotonic()
        await asyncio.sleep(RECOVER_S + MEASURED_S + DEADLINE_MS / 1000)
        for task in clients:
            task.cancel()
        before = outcomes.share_served(begin, struck - 2)
        after = outcomes.share_served(back + RECOVER_S, back + RECOVER_S + MEASURED_S)
        stuck = time.monotonic() - group.last_pass
        record.write(f"served before {before[1]} of {before[0]}, later than {RECOVER_S} s after all were back {after[1]} of {after[0]}")
        record.write(f"the last pass began {stuck:.1f} s ago; rank 0 holds {group.ranks[0].held}; holds lasted "
                     f"{[round(held, 3) for held in group.held_times]} s; orders refused: {group.refused_orders}; passes with different maps: {group.mixed_passes}")
        print(f"before {before}, after {after}, last pass {stuck:.1f} s ago, held {group.ranks[0].held}, holds {len(group.held_times)}")
        if before[1] * 4 < before[0] or before[0] == 0:
            raise CannotRun("too little was served before the fault")
        return after[1] * 4 < after[0]


play(case, FOLDER)
