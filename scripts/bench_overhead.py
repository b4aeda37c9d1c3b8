"""Measures the overhead of sardinelb for a streamed response, with real processes on loopback.

One stand-in engine is called directly and through one entry and one agent, alternating within the same run. Half load
is half of the rate that the stand-in engine sustains when called through the entry.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from demo_fleet import DEPLOYMENTS, Fleet  # noqa: E402

SEEDS = (1, 2, 3)
SECONDS_PER_RUN = 4


def run_load(fleet, mode, rate, seed):
    pool = fleet.deployment["model_pool"]
    target = fleet.address(pool + "-0/runner") if mode == "direct" else fleet.address("entry-0/callers")
    command = [os.path.join(fleet.build, "bench/bench_ttfb_load"), target, mode, pool + "-large", fleet.team_key(0),
               str(rate), str(SECONDS_PER_RUN), str(seed)]
    done = subprocess.run(command, capture_output=True, text=True, check=True, timeout=60)
    return json.loads(done.stdout)


def resident_mb(process):
    with open(f"/proc/{process.pid}/status") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


def print_result(case, seed, ours, baseline, unit):
    ratio = round(ours / baseline, 4) if baseline else None
    print(json.dumps({"bench": "overhead", "case": case, "seed": seed, "ours": round(ours, 4),
                      "baseline": round(baseline, 4) if baseline is not None else None, "ratio": ratio,
                      "unit": unit}), flush=True)


def measure(fleet):
    peak = {mode: run_load(fleet, mode, 0, 0)["rate"] for mode in ("direct", "entry")}
    print_result("rate/1-entry-1-runner", 0, peak["entry"], peak["direct"], "requests/s")
    half_rate = peak["entry"] / 2
    for seed in SEEDS:
        direct = run_load(fleet, "direct", half_rate, seed)
        proxied = run_load(fleet, "entry", half_rate, seed + 100)
        for name in ("p50", "p99"):
            print_result(f"ttfb-added-{name}/1-entry-1-runner", seed, proxied[name] - direct[name], direct[name], "ms")
    for name in ("entry-0", fleet.deployment["model_pool"] + "-0"):
        print_result(f"rss-mb/{'entry' if name.startswith('entry') else 'agent'}", 0,
                     resident_mb(fleet.processes[name]), 64, "MB")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--build", default="build")
    arguments = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="sardinelb-overhead-")
    fleet = Fleet(arguments.build, folder, DEPLOYMENTS["haesong"], 1, 1, 1, 1)
    fleet.runner_slots = 64
    try:
        fleet.write_settings()
        fleet.write("fleet.json", fleet.configuration(tokens_per_second=100_000_000, requests_per_second=100_000))
        fleet.start("table", os.path.join(fleet.build, "tests/stand_ins/stand_in_table"), "--port", fleet.port("table"))
        pool = fleet.deployment["model_pool"]
        fleet.start_runner(pool + "-0", "stand_in_engine", "--slots", "64", "--token-interval-ms", "1",
                           "--prompt-tokens-per-ms", "1000", "--kv-capacity", "10000000")
        fleet.start_runner(fleet.deployment["service_pool"] + "-0", "stand_in_service")
        time.sleep(0.5)
        command = [os.path.join(fleet.build, "cli/sardinelb"), "--config", fleet.path("cli.json"), "apply",
                   fleet.path("fleet.json")]
        subprocess.run(command, capture_output=True, timeout=60)
        fleet.start_daemons()
        fleet.wait_ready()
        time.sleep(2)
        measure(fleet)
    finally:
        fleet.stop_all()


if __name__ == "__main__":
    main()
