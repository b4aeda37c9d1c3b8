"""A runner is taken away 2 s after its notice while it writes answers that end with their connection."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand_ins_3"))

import runner as stand_in  # noqa: E402
from installation import CannotRun, Installation, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# `scale_in`, how `spot`: the runner is gone so long after the notice.
NOTICE_S = 2.0
DEADLINE_MS = 8000
REQUESTS = 3
# Answers of 4 s.
WORK = "40-100"


def is_broken(installation, attempt, target, answer):
    """MIXED: a success that looks complete with a body that is not the runner's whole body. ORDER: the same for a stream."""
    whole = b"".join(stand_in.parts_of(attempt, target))
    if not 200 <= answer.status < 300 or not answer.is_complete or answer.body == whole:
        return False
    rule = "ORDER" if "/stream/" in target else "MIXED"
    installation.record(f"BROKEN {rule}: {attempt} got {len(answer.body)} of {len(whole)} bytes as a complete answer with status {answer.status}")
    return True


async def run():
    async with Installation(os.path.join(HERE, "record.txt")) as installation:
        await installation.configure([route("look", "safe", DEADLINE_MS), route("stream", "streaming", DEADLINE_MS, resumable=True, target_gap_ms=120)])
        await installation.start_entries()
        first = await installation.start_runner("i-1", installation.runner_address(101))
        await asyncio.sleep(1.5)
        calls = []
        for number in range(2 * REQUESTS):
            method, target = ("GET", f"/look/{WORK}") if number < REQUESTS else ("POST", f"/stream/{WORK}")
            attempt = installation.next_attempt()
            calls.append((attempt, target, asyncio.ensure_future(installation.call(0, method, target, DEADLINE_MS, attempt))))
        await asyncio.sleep(0.3)
        await installation.start_runner("i-2", installation.runner_address(102))
        await asyncio.sleep(0.2)
        first.send_signal(signal.SIGUSR1)
        installation.record("notice to i-1")
        if TROUBLE:
            await asyncio.sleep(NOTICE_S)
            first.kill()
            installation.record("i-1 is gone")
        broken = [is_broken(installation, attempt, target, await call) for attempt, target, call in calls]
        installation.record(f"{sum(broken)} of {len(broken)} answers broke a rule")
        return 1 if any(broken) else 0


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(run()))
    except (CannotRun, OSError) as error:
        print(f"cannot run: {error}")
        sys.exit(2)
