"""A runner crashes and starts again while it is cut off from an entry to which it writes answers that end with their connection."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand_ins_3"))

import runner as stand_in  # noqa: E402
from cut_link import CutLink  # noqa: E402
from installation import CannotRun, Installation, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# `srv_cut` lasts 5 s.
CUT_S = 4.0
DEADLINE_MS = 8000
# Answers of 2 s.
WORK = "20-100"
REQUESTS = (("GET", f"/look/{WORK}"), ("GET", f"/look/{WORK}"), ("POST", f"/book/{WORK}"), ("POST", f"/book/{WORK}"))


def is_broken(installation, attempt, target, answer):
    """MIXED: a success that looks complete with a body that is not the runner's whole body."""
    whole = b"".join(stand_in.parts_of(attempt, target))
    if not 200 <= answer.status < 300 or not answer.is_complete or answer.body == whole:
        return False
    installation.record(f"BROKEN MIXED: {attempt} {target} got {len(answer.body)} of {len(whole)} bytes as a complete answer with status {answer.status}")
    return True


async def run():
    async with Installation(os.path.join(HERE, "record.txt")) as installation:
        await installation.configure([route("look", "safe", DEADLINE_MS), route("book", "unsafe", DEADLINE_MS, attempts=1)])
        await installation.start_entries()
        address = installation.runner_address(101)
        link = CutLink(installation.runner_address(102), address)
        await link.start()
        first = await installation.start_runner("i-1", address, link.address)
        await asyncio.sleep(1.5)
        calls = []
        for method, target in REQUESTS:
            attempt = installation.next_attempt()
            calls.append((attempt, target, asyncio.ensure_future(installation.call(0, method, target, DEADLINE_MS, attempt))))
        await asyncio.sleep(0.6)
        if TROUBLE:
            link.cut()
            installation.record("i-1 is cut off from the entry")
            await asyncio.sleep(0.3)
            first.kill()
            first.wait()
            installation.record("i-1 has crashed")
            await asyncio.sleep(1)
            await installation.start_runner("i-2", address, link.address)
            await asyncio.sleep(CUT_S - 1.3)
            link.heal()
            installation.record("the cut has healed")
        broken = [is_broken(installation, attempt, target, await call) for attempt, target, call in calls]
        installation.record(f"{sum(broken)} of {len(broken)} answers broke a rule")
        link.stop()
        return 1 if any(broken) else 0


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(run()))
    except (CannotRun, OSError) as error:
        print(f"cannot run: {error}")
        sys.exit(2)
