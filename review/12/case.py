"""Runners spoil one in 50 of their answers to agents. The platform ends agents that exceed their memory."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand_ins_3"))

from installation import CannotRun, Installation, route  # noqa: E402
from memory_watch import watch_agents  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DAY_S = 60
QUIET_DAY_S = 15


async def run():
    async with Installation(os.path.join(HERE, "record.txt")) as installation:
        await installation.configure([route("look", "safe", 1000)])
        await installation.start_entries()
        is_broken = await watch_agents(installation, "spoilt" if TROUBLE else None, DAY_S if TROUBLE else QUIET_DAY_S)
        return 1 if is_broken else 0


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(run()))
    except (CannotRun, OSError) as error:
        print(f"cannot run: {error}")
        sys.exit(2)
