"""A runner of a group spoils one bit of one in 50 of its answers, at most. Looks for passes that begin while two ranks have different maps."""

import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand_ins_3"))

from installation import HEARTBEAT_S, PEER_PORTS, CannotRun, Installation, route  # noqa: E402
from rank_group import ENGINE, SIZE, RankGroup  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DAY_S = 85
QUIET_DAY_S = 45
# One of eight runners: `garble` has share (.5).
SPOILT_BY = (3,)
SERVICE = "huvo11a"
# Without them, the day shows nothing.
MIN_SWITCHES = 3


async def list_runners(installation, addresses):
    """The runners' own heartbeats in the platform's list."""
    seq = 0
    while True:
        seq += 1
        for number, address in enumerate(addresses):
            value = {"service": SERVICE, "address": "%s:%d" % address, "zone": "zone-a", "version": 1, "slots": ENGINE["slots"], "state": "ready", "cold_left_ms": 0, "seq": seq}
            await installation.store.heartbeat(f"m-{number}", json.dumps(value))
        await asyncio.sleep(HEARTBEAT_S)


async def run():
    async with Installation(os.path.join(HERE, "record.txt")) as installation:
        service = {"name": SERVICE, "health_path": "/healthz", "max_conns": 338, "protocol": "h1", "tls": False, "engine": ENGINE}
        await installation.configure([route("look", "safe", 1000), {**route("write", "streaming", 8000), "service": SERVICE}], services=[service])
        await installation.start_entries()
        # The first port of the peers is the same on all machines.
        ports = installation.entries[0][1][1] - PEER_PORTS
        addresses = [(installation.ip(101 + number), ports + PEER_PORTS) for number in range(SIZE)]
        group = RankGroup(installation.record, SPOILT_BY if TROUBLE else ())
        await group.start(addresses)
        listing = asyncio.ensure_future(list_runners(installation, addresses))
        agents = [installation.start_daemon(installation.agent_settings(number + 1, ports, address)) for number, address in enumerate(addresses)]
        await group.run(time.monotonic() + (DAY_S if TROUBLE else QUIET_DAY_S))
        listing.cancel()
        group.stop()
        ended = sum(agent.poll() is not None for agent in agents)
        installation.record(f"{group.step} passes, {group.switches} switches; passes with different maps: {group.broken}; agents that ended: {ended}")
        if group.broken:
            return 1
        if group.switches < MIN_SWITCHES:
            raise CannotRun(f"only {group.switches} switches")
        return 0


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(run()))
    except (CannotRun, OSError) as error:
        print(f"cannot run: {error}")
        sys.exit(2)
