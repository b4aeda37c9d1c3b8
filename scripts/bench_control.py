"""Measures the cost of an idle fleet of real processes: CPU time, memory and bytes sent to other daemons, per daemon.

No requests are served, so that only control traffic is measured. Three fleet sizes show the growth with the number of
peers.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
import time
import urllib.request

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from demo_fleet import DEPLOYMENTS, Fleet  # noqa: E402

MEASUREMENT_SECONDS = 10
FLEET_SIZES = ((1, 4), (2, 16), (4, 32))


def cpu_seconds(process):
    with open(f"/proc/{process.pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def sent_bytes(fleet, name):
    """Returns the bytes of frames that the daemon has sent to other daemons."""
    with urllib.request.urlopen(f"http://{fleet.address(name + '/admin')}/metrics", timeout=5) as answer:
        for line in answer.read().decode().splitlines():
            if line.startswith("sardinelb_peer_bytes_sent_total"):
                return float(line.split()[1])
    return 0.0


def resident_mb(process):
    with open(f"/proc/{process.pid}/status") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmRSS:")) / 1024


def print_result(case, value, unit):
    print(json.dumps({"bench": "control", "case": case, "seed": 0, "ours": round(value, 4), "baseline": None,
                      "ratio": None, "unit": unit}), flush=True)


def measure(build, entries, runners):
    folder = tempfile.mkdtemp(prefix="sardinelb-control-")
    fleet = Fleet(build, folder, DEPLOYMENTS["haesong"], runners, 1, entries, 10)
    try:
        fleet.write_settings()
        fleet.write("fleet.json", fleet.configuration())
        fleet.start_platform()
        time.sleep(1)
        subprocess.run([os.path.join(build, "cli/sardinelb"), "--config", fleet.path("cli.json"), "apply",
                        fleet.path("fleet.json")], capture_output=True, timeout=60)
        fleet.start_daemons()
        fleet.wait_ready()
        time.sleep(3)
        measured = {"entry": "entry-0", "agent": fleet.deployment["model_pool"] + "-0"}
        before = {role: (cpu_seconds(fleet.processes[name]), sent_bytes(fleet, name))
                  for role, name in measured.items()}
        time.sleep(MEASUREMENT_SECONDS)
        for role, name in measured.items():
            process = fleet.processes[name]
            size = f"{entries}-entries-{runners + 1}-runners"
            print_result(f"cpu-{role}/{size}", 100 * (cpu_seconds(process) - before[role][0]) / MEASUREMENT_SECONDS,
                         "% of 1 core")
            print_result(f"bytes-sent-{role}/{size}", (sent_bytes(fleet, name) - before[role][1]) / MEASUREMENT_SECONDS,
                         "B/s")
            print_result(f"rss-mb-{role}/{size}", resident_mb(process), "MB")
    finally:
        fleet.stop_all()


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--build", default="build")
    arguments = parser.parse_args()
    for entries, runners in FLEET_SIZES:
        measure(arguments.build, entries, runners)


if __name__ == "__main__":
    main()
