"""An entry is stopped as planned while runners are short of memory. Sound streams must be completed."""

import asyncio
import os
import random
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins"))
from installation import BOUNDS, CannotRun, Installation, play, read_head, request_bytes, trouble_wanted  # noqa: E402
from rank_group import EVENTS, Group, SERVICE, route  # noqa: E402

CLIENTS = 8
BEFORE_S = 6
DEADLINE_MS = 8000

# Shorter than the silence after which clients abandon a stream.
PREEMPTION_S = 1.4
PATIENCE_S = 2

# Streams of which every request begins before the planned stop.
SENT_BEFORE_STOP_S = 0.3


async def stream(installation, entry, number):
    """Returns the attempt and what became of it."""
    record = installation.record
    attempt = installation.next_attempt()
    fields = f"Model: m\r\nToken-Usage: 700,96\r\nPrefix-Hash: 5c1e07a2:40,{attempt}:660\r\n"
    events = 0
    longest = 0
    last = time.monotonic()
    outcome = "closed"
    writer = None
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            reader, writer = await asyncio.open_connection(entry.ip, installation.front_port)
            writer.write(request_bytes("POST", "/lohu930/2f", attempt, DEADLINE_MS, fields, b"p" * 700))
            async with asyncio.timeout(PATIENCE_S):
                status, _ = await read_head(reader)
            if status != 200:
                outcome = f"status {status}"
            while status == 200:
                async with asyncio.timeout(PATIENCE_S):
                    size = int(await reader.readuntil(b"\r\n"), 16)
                    part = await reader.readexactly(size + 2)
                longest = max(longest, time.monotonic() - last)
                last = time.monotonic()
                if size == 0:
                    outcome = "complete" if events == EVENTS else "complete too early"
                    break
                events += part.count(b"id: ")
    except (TimeoutError, asyncio.TimeoutError):
        outcome = "given up by the client"
    except (OSError, asyncio.IncompleteReadError, ValueError):
        outcome = "closed"
    finally:
        if writer:
            writer.close()
    silence = time.monotonic() - last
    record.write(f"client {number}: {attempt} at {entry.name}: {outcome} after {events} events, longest silence {max(longest, silence):.2f} s")
    return attempt, outcome


async def case():
    async with Installation(FOLDER, entries=2) as installation:
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
        entry = installation.entries[0]
        end = time.monotonic() + BEFORE_S

        async def warm_up(number):
            results = []
            while time.monotonic() < end - 2:
                results.append(await stream(installation, random.choice(installation.entries), number))
            return results

        results = sum(await asyncio.gather(*(warm_up(n) for n in range(CLIENTS))), [])
        if any(outcome != "complete" for _, outcome in results):
            raise CannotRun("a stream failed before the disruption")
        await asyncio.sleep(BOUNDS["stable_window_ms"] / 1000)
        if trouble_wanted():
            group.preemption_s = PREEMPTION_S
            record.write("the runners are short of memory from now on")
        streams = [asyncio.ensure_future(stream(installation, entry, n)) for n in range(CLIENTS)]
        await asyncio.sleep(SENT_BEFORE_STOP_S)
        if trouble_wanted():
            record.write(f"planned work: SIGTERM to {entry.name}")
            entry.signal(signal.SIGTERM)
        results = await asyncio.gather(*streams)
        lost = [attempt for attempt, outcome in results if outcome.startswith("clos") and attempt in group.runs]
        given_up = sum(1 for _, outcome in results if outcome.startswith("given"))
        if trouble_wanted():
            try:
                await asyncio.wait_for(entry.wait(), 10)
            except (TimeoutError, asyncio.TimeoutError):
                record.write(f"{entry.name} is still running")
        record.write(f"streams that were passed on and closed without their end: {len(lost)}; given up by clients: {given_up}")
        print(f"lost {len(lost)} of {len(results)}, given up {given_up}: {sorted(outcome for _, outcome in results)}")
        return len(lost) > 0


play(case, FOLDER)
