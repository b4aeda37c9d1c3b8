"""Sends load through real processes while one of them fails, and checks every response.

In each case the load driver sends chat requests and bookings, and one process is killed, paused or stopped. No
response may be wrong or aborted. No booking may run twice, and none may run if its caller was told that it was not run.
No case kills the process that holds the callers' connections, so that not even one aborted response is allowed.
"""

import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts"))
import demo_fleet  # noqa: E402

MODEL_RUNNERS = 3
SERVICE_RUNNERS = 2
ENTRIES = 2
TEAMS = 4
CHATS = 200
BOOKINGS = 80
REQUESTS_PER_SECOND = 70
# Longer than the 4 s without a message after which daemons consider a peer lost.
PAUSE_SECONDS = 5
ENTRY = "entry-1"


def wait_for_busy_agent(fleet, agents):
    """Waits until a runner is processing requests and returns its agent. Which runner that is depends on the router,
    which avoids a runner for a while after a failure."""
    busy = []

    def find():
        busy[:] = [agent for agent in agents if fleet.status(agent)["runners"][0]["running"] > 0]
        return busy

    fleet.wait_for("a runner of " + ", ".join(agents) + " is busy", find)
    return busy[0]


def wait_for_busy_model_agent(fleet):
    return wait_for_busy_agent(fleet, fleet.runner_names()[0])


def wait_for_busy_service_agent(fleet):
    return wait_for_busy_agent(fleet, fleet.runner_names()[1])


def set_table_down(fleet, down):
    body = json.dumps({"down": down}).encode()
    request = urllib.request.Request(f"http://{fleet.address('table')}/admin/faults", data=body, method="POST")
    urllib.request.urlopen(request, timeout=5).close()


def agent_killed(fleet):
    agent = wait_for_busy_model_agent(fleet)
    fleet.kill(agent)
    fleet.start_daemon(agent)


def service_agent_killed(fleet):
    agent = wait_for_busy_service_agent(fleet)
    fleet.kill(agent)
    fleet.start_daemon(agent)


def runner_killed(fleet):
    agent = wait_for_busy_model_agent(fleet)
    fleet.kill(agent + "-runner")
    fleet.start_runner(agent, "stand_in_engine", "--slots", "8", "--token-interval-ms", "4")


def pause(fleet, name):
    fleet.signal(name, signal.SIGSTOP)
    time.sleep(PAUSE_SECONDS)
    fleet.signal(name, signal.SIGCONT)


def entry_paused(fleet):
    fleet.wait_for(ENTRY + " is busy", lambda: fleet.status(ENTRY)["in_flight"] > 0)
    pause(fleet, ENTRY)


def agent_paused(fleet):
    pause(fleet, wait_for_busy_model_agent(fleet))


def service_agent_paused(fleet):
    pause(fleet, wait_for_busy_service_agent(fleet))


def table_down(fleet):
    wait_for_busy_model_agent(fleet)
    set_table_down(fleet, True)
    time.sleep(2)
    set_table_down(fleet, False)


def stop_and_restart(fleet, name):
    code = fleet.stop(name)
    if code != 0:
        raise RuntimeError(f"the planned stop of {name} ended with status {code}")
    fleet.start_daemon(name)


def agent_stopped(fleet):
    stop_and_restart(fleet, wait_for_busy_model_agent(fleet))


def service_agent_stopped(fleet):
    stop_and_restart(fleet, wait_for_busy_service_agent(fleet))


def entry_stopped(fleet):
    fleet.wait_for(ENTRY + " is busy", lambda: fleet.status(ENTRY)["in_flight"] > 0)
    stop_and_restart(fleet, ENTRY)


CASES = [agent_killed, service_agent_killed, runner_killed, entry_paused, agent_paused, service_agent_paused,
         table_down, agent_stopped, service_agent_stopped, entry_stopped]


def violations_in(summary):
    """Returns a description of each violation."""
    violations = []
    for kind in ("plain_chat", "streamed_chat", "bookings"):
        for verdict in ("wrong", "broken"):
            if summary[kind][verdict] != 0:
                violations.append(f"{summary[kind][verdict]} {kind} {verdict}")
    services = summary["services"]
    if services["comparison"] != "done":
        violations.append("comparison with the services: " + str(services["comparison"]))
    for difference in ("repeated", "missing", "run_though_refused", "bad_request_ids"):
        if services.get(difference, 0) != 0:
            violations.append(f"{services[difference]} bookings {difference}")
    return violations


def run_case(fleet, case, run):
    """Sends one load during one failure. Returns the violations."""
    name = case.__name__
    started = time.time()
    fleet.write("plan.json", fleet.load_plan(CHATS, BOOKINGS, REQUESTS_PER_SECOND, f"{name}-{run}"))
    load = subprocess.Popen([os.path.join(fleet.build, "tests/stand_ins/stand_in_load"), "--plan",
                             fleet.path("plan.json")], stdout=subprocess.PIPE, text=True)
    fleet.processes["load"] = load
    case(fleet)
    output, _ = load.communicate(timeout=60)
    fleet.processes.pop("load")
    fleet.wait_ready()
    summary = json.loads(output)
    violations = violations_in(summary)
    violations += [f"{process} exited unexpectedly" for process, handle in fleet.processes.items()
                   if handle.poll() is not None]
    counts = {kind: {k: v for k, v in summary[kind].items() if v}
              for kind in ("plain_chat", "streamed_chat", "bookings")}
    print(f"{name}: {'; '.join(violations) or 'passed'} ({time.time() - started:.1f} s, {counts})", flush=True)
    if violations:
        print(json.dumps(summary, indent=1))
    return [f"{name}: {violation}" for violation in violations]


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--build", default="build")
    parser.add_argument("--folder", default=None, help="for settings and logs; a temporary one by default")
    parser.add_argument("--case", action="append", choices=[case.__name__ for case in CASES])
    arguments = parser.parse_args()
    folder = arguments.folder or tempfile.mkdtemp(prefix="sardinelb-failures-")
    os.makedirs(folder, exist_ok=True)
    print(f"settings and logs: {folder}", flush=True)
    fleet = demo_fleet.Fleet(arguments.build, folder, demo_fleet.DEPLOYMENTS["haesong"], MODEL_RUNNERS, SERVICE_RUNNERS,
                             ENTRIES, TEAMS)
    violations = []
    try:
        fleet.write_settings()
        fleet.write("fleet.json", fleet.configuration())
        fleet.start_platform()
        # The entries are not running yet, so the change is committed but not accepted.
        fleet.run_cli("apply", fleet.path("fleet.json"))
        fleet.start_daemons()
        fleet.wait_ready()
        for agent in sum(fleet.runner_names(), []):
            fleet.wait_for(agent + " is ready", lambda name=agent: fleet.is_daemon_ready(name))
        for case in CASES:
            if not arguments.case or case.__name__ in arguments.case:
                violations += run_case(fleet, case, os.getpid())
    finally:
        fleet.stop_all()
    print("; ".join(violations) or "all checks passed")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
