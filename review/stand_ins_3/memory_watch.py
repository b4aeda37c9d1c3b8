"""The platform's limit of memory: starts agents beside runners, ends each that exceeds the memory of its machine, and starts it again."""

import asyncio
import sys
import time

from installation import HERE, PEER_PORTS, SIDE_MACHINE, free_ports

# Rule Fault: processes end three times on a tenth of the machines, two at least. So two of four runners are in trouble: `garble` has share (.5).
RUNNERS = 4
TROUBLED = 2
ENDS = 3
RESTART_S = 0.5
LOOK_S = 0.01
KIB_PER_MB = 1024


def resident_kib(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    return 0


async def watch(installation, settings, ends, is_over):
    """The platform: starts the agent, ends it when it exceeds its memory, and starts it again."""
    node = settings["node"]
    limit_kib = SIDE_MACHINE["memory_mb"] * KIB_PER_MB
    while not is_over():
        process = installation.start_daemon(settings)
        began = time.monotonic()
        peak = 0
        while not is_over() and process.poll() is None:
            peak = max(peak, resident_kib(process.pid))
            if peak > limit_kib:
                process.kill()
                process.wait()
                ends[node] += 1
                installation.record(f"{node}: agent ended {time.monotonic() - began:.2f} s after its start with {peak} of {limit_kib} KiB")
            await asyncio.sleep(LOOK_S)
        if is_over():
            installation.record(f"{node}: peak of the last process {peak} of {limit_kib} KiB")
        elif peak <= limit_kib:
            ends[node] += 1
            installation.record(f"{node}: agent ended by itself with status {process.returncode}")
        await asyncio.sleep(RESTART_S)


async def watch_agents(installation, trouble, day_s):
    """Lets agents run beside runners in this trouble, for `day_s` or until two have ended three times. Returns whether the rule was broken."""
    ports = free_ports(installation.ip(101), PEER_PORTS + 1)
    agents = []
    for rank in range(RUNNERS):
        runner = (installation.ip(101 + rank), ports + PEER_PORTS)
        command = [sys.executable, "-B", f"{HERE}/model_runner.py", "--ip", runner[0], "--port", str(runner[1]), "--rank", str(rank), "--size", str(RUNNERS)]
        installation.spawn(command + (["--trouble", trouble] if trouble and rank < TROUBLED else []), f"output-{rank}.txt")
        agents.append(installation.agent_settings(rank + 1, ports, runner))
    await asyncio.sleep(0.5)
    until = time.monotonic() + day_s
    ends = {settings["node"]: 0 for settings in agents}

    def is_over():
        return time.monotonic() >= until or sum(count >= ENDS for count in ends.values()) >= TROUBLED

    await asyncio.gather(*(watch(installation, settings, ends, is_over) for settings in agents))
    installation.record(f"ends: {ends}")
    return sum(count >= ENDS for count in ends.values()) >= TROUBLED
