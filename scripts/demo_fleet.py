"""Runs a fleet of sardinelb processes on loopback and checks the responses that callers receive.

Each deployment has 2 entries, 3 availability zones, 16 model runners and 3 plain-service runners, each behind an agent.
While the load driver sends chat requests and bookings, a runner is drained and started again, a contract is changed,
and an entry is restarted.
"""

import argparse
import hashlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

CLUSTER_KEY = "demo-cluster-key-0123456789"
OPERATOR_KEY = "demo-operator-key"

DEPLOYMENTS = {
    "haesong": {
        "zones": ["naju-yard", "gwangju-hq", "mokpo-shed"],
        "model_pool": "assist-llm",
        "service_pool": "dispatch-app",
        "path": "/bookings",
    },
    "casillas": {
        "zones": ["bilbao-a", "santander-b", "oviedo-c"],
        "model_pool": "clue-model",
        "service_pool": "buzon",
        "path": "/submissions",
    },
}


def digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


class Fleet:
    """All processes of one deployment."""

    def __init__(self, build, folder, deployment, model_runners, service_runners, entries, teams):
        self.build = build
        self.folder = folder
        self.deployment = deployment
        self.model_runners = model_runners
        self.service_runners = service_runners
        self.entry_count = entries
        self.team_count = teams
        # Sockets that keep the ports of the fleet, so that no other process gets one while its owner is down.
        self.reservations = []
        self.runner_slots = 8
        self.processes = {}
        self.addresses = {}

    def address(self, name):
        if name not in self.addresses:
            self.addresses[name] = f"127.0.0.1:{self.reserve_port()}"
        return self.addresses[name]

    def reserve_port(self):
        # With SO_REUSEADDR, two sockets may share a port as long as at most one of them listens.
        reservation = socket.socket()
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reservation.bind(("127.0.0.1", 0))
        self.reservations.append(reservation)
        return reservation.getsockname()[1]

    def port(self, name):
        return self.address(name).split(":")[1]

    def start(self, name, *command):
        log = open(os.path.join(self.folder, name + ".log"), "a")
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=subprocess.STDOUT)

    def start_stand_in(self, name, program, *options):
        path = os.path.join(self.build, "tests/stand_ins", program)
        self.start(name, path, "--port", self.port(name), *options)

    def start_daemon(self, name):
        self.start(name, os.path.join(self.build, "daemon/sardinelbd"), "--config", self.path(name + ".json"))

    def path(self, file):
        return os.path.join(self.folder, file)

    def write(self, file, value):
        with open(self.path(file), "w") as out:
            json.dump(value, out, indent=1)

    def zone(self, index):
        zones = self.deployment["zones"]
        return zones[index % len(zones)]

    def runner_names(self):
        models = [f"{self.deployment['model_pool']}-{i}" for i in range(self.model_runners)]
        services = [f"{self.deployment['service_pool']}-{i}" for i in range(self.service_runners)]
        return models, services

    def entry_names(self):
        return [f"entry-{i}" for i in range(self.entry_count)]

    def entries_by_zone(self):
        zones = {}
        for index, name in enumerate(self.entry_names()):
            zones.setdefault(self.zone(index), {})[name] = self.address(name + "/peer")
        return zones

    def common_settings(self, name, zone):
        return {
            "id": name,
            "availability_zone": zone,
            "peer_address": self.address(name + "/peer"),
            "admin_address": self.address(name + "/admin"),
            "table_address": self.address("table"),
            "cluster_key": CLUSTER_KEY,
            "operator_key_sha256": digest(OPERATOR_KEY),
            "entries": self.entries_by_zone(),
        }

    def write_settings(self):
        models, services = self.runner_names()
        for kind, names in (("model", models), ("service", services)):
            for index, name in enumerate(names):
                settings = self.common_settings(name, self.zone(index))
                settings.update(role="agent", runner_address=self.address(name + "/runner"), runner_kind=kind,
                                runner_slots=self.runner_slots)
                self.write(name + ".json", settings)
        entries = {}
        for index, name in enumerate(self.entry_names()):
            settings = self.common_settings(name, self.zone(index))
            settings.update(role="entry", caller_address=self.address(name + "/callers"), drain_delay_ms=1000)
            self.write(name + ".json", settings)
            entries.setdefault(self.zone(index), []).append(self.address(name + "/admin"))
        self.write("cli.json", {"table": self.address("table"), "entries": entries, "operator_key": OPERATOR_KEY,
                                "author": "demo"})

    def configuration(self, tokens_per_second=100000, requests_per_second=500):
        models, services = self.runner_names()
        pool, service_pool = self.deployment["model_pool"], self.deployment["service_pool"]
        instances, runners = [], []
        for runner_pool, names in ((pool, models), (service_pool, services)):
            for index, name in enumerate(names):
                instances.append({"id": "host-" + name, "zone": self.zone(index), "aliases": {"asset": "A-" + name}})
                runners.append({"id": name, "pool": runner_pool, "instance": "host-" + name, "zone": self.zone(index),
                                "agent_address": self.address(name + "/peer")})
        return {
            "naming_schemes": ["billing", "field", "asset"],
            "pools": [{"id": pool, "kind": "model", "wanted_runners": self.model_runners},
                      {"id": service_pool, "kind": "service", "wanted_runners": self.service_runners}],
            "models": [{"id": pool + "-large", "pool": pool, "aliases": {"billing": "M-1", "field": "assistant"}}],
            "instances": instances,
            "runners": runners,
            "services": [{"id": "POST " + self.deployment["path"], "pool": service_pool}],
            "teams": [self.team(i, tokens_per_second, requests_per_second) for i in range(self.team_count)],
        }

    def team(self, index, tokens_per_second, requests_per_second):
        share = 1 if index < 2 else 0.2
        return {"id": f"team-{index}", "aliases": {"billing": f"B-{index:04}"},
                "key_digests": [digest(self.team_key(index))],
                "contract": {"tokens_per_second": int(tokens_per_second * share),
                             "requests_per_second": requests_per_second * share,
                             "service_class": "interactive", "answer_within_ms": 30000}}

    @staticmethod
    def team_key(index):
        return f"demo-team-key-{index}"

    def start_platform(self):
        """Starts the table service and all runners, and waits until they accept connections."""
        self.start_stand_in("table", "stand_in_table")
        models, services = self.runner_names()
        for name in models:
            self.start_runner(name, "stand_in_engine", "--slots", "8", "--token-interval-ms", "4")
        for name in services:
            self.start_runner(name, "stand_in_service", "--latency-ms", "5", "--latency-jitter-ms", "20")
        for address in [self.address("table")] + [self.address(name + "/runner") for name in models + services]:
            self.wait_for(address + " accepts connections", lambda to=address: self.accepts_connections(to))

    @staticmethod
    def accepts_connections(address):
        ip, port = address.split(":")
        with socket.socket() as probe:
            return probe.connect_ex((ip, int(port))) == 0

    @staticmethod
    def wait_for(expected, condition, seconds=20):
        deadline = time.time() + seconds
        while not condition():
            if time.time() > deadline:
                raise RuntimeError("timed out while waiting until " + expected)
            time.sleep(0.02)

    def start_runner(self, name, program, *options):
        path = os.path.join(self.build, "tests/stand_ins", program)
        self.start(name + "-runner", path, "--port", self.port(name + "/runner"), *options)

    def start_daemons(self):
        models, services = self.runner_names()
        for name in models + services + self.entry_names():
            self.start_daemon(name)

    def run_cli(self, *arguments):
        command = [os.path.join(self.build, "cli/sardinelb"), "--config", self.path("cli.json"), *arguments]
        done = subprocess.run(command, capture_output=True, text=True, timeout=60)
        print(f"$ sardinelb {' '.join(arguments)}  (exit code {done.returncode})")
        print("  " + (done.stdout + done.stderr).strip().replace("\n", "\n  "))
        return done.returncode

    def wait_ready(self, seconds=20):
        for name in self.entry_names():
            self.wait_for(name + " is ready", lambda entry=name: self.is_ready(entry), seconds)

    def is_ready(self, entry):
        try:
            url = f"http://{self.address(entry + '/callers')}/readyz"
            with urllib.request.urlopen(url, timeout=2) as answer:
                return answer.status == 200
        except (urllib.error.URLError, OSError):
            return False

    def is_daemon_ready(self, name):
        """Whether the daemon answers at its admin port and says that it is ready. One that has just been started does not listen yet."""
        try:
            return self.status(name)["ready"]
        except (urllib.error.URLError, OSError):
            return False

    def stop(self, name, seconds=60):
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(timeout=seconds)

    def kill(self, name):
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def stop_all(self):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        for reservation in self.reservations:
            reservation.close()

    def status(self, name):
        """Returns the status of a daemon from its admin interface."""
        request = urllib.request.Request(f"http://{self.address(name + '/admin')}/admin/status",
                                         headers={"Authorization": "Bearer " + OPERATOR_KEY})
        with urllib.request.urlopen(request, timeout=5) as answer:
            return json.load(answer)["daemons"][0]

    def load_plan(self, chats, bookings, rate, run="demo"):
        models, services = self.runner_names()
        return {
            "run": run, "seed": 1, "entries": [self.address(e + "/callers") for e in self.entry_names()],
            "keys": [self.team_key(i) for i in range(self.team_count)], "model": "M-1",
            "services": [self.address(name + "/runner") for name in services], "concurrency": 32,
            "requests_per_second": rate,
            "chat": {"count": chats, "streamed_share": 0.5, "long_share": 0.05,
                     "prompt_template": "user: {content}\n"},
            "bookings": {"count": bookings, "path": self.deployment["path"]},
        }


def run_deployment(name, arguments):
    """Serves the workload of one deployment. Returns whether all checks passed."""
    print(f"== {name}")
    folder = os.path.join(arguments.folder, name)
    os.makedirs(folder, exist_ok=True)
    fleet = Fleet(arguments.build, folder, DEPLOYMENTS[name], 16, 3, 2, 10)
    codes = []
    try:
        fleet.write_settings()
        fleet.write("fleet.json", fleet.configuration())
        fleet.start_platform()
        fleet.run_cli("validate", fleet.path("fleet.json"))
        fleet.run_cli("apply", fleet.path("fleet.json"))
        fleet.start_daemons()
        fleet.wait_ready()
        time.sleep(1)
        fleet.write("plan.json", fleet.load_plan(arguments.chats, arguments.bookings, arguments.rate))
        load = subprocess.Popen([os.path.join(fleet.build, "tests/stand_ins/stand_in_load"), "--plan",
                                 fleet.path("plan.json")], stdout=subprocess.PIPE, text=True)
        fleet.processes["load"] = load
        drained = f"{DEPLOYMENTS[name]['model_pool']}-3"
        time.sleep(1)
        codes.append(("drain", fleet.run_cli("runner", "drain", drained)))
        codes.append(("contract change", fleet.run_cli("contract", "set", "team-5", "tokens_per_second=40000")))
        time.sleep(1)
        codes.append(("planned stop of entry-1", fleet.stop("entry-1")))
        fleet.start_daemon("entry-1")
        fleet.wait_ready()
        codes.append(("start", fleet.run_cli("runner", "start", drained)))
        output, _ = load.communicate(timeout=240)
        codes.append(("load driver", load.returncode))
        fleet.processes.pop("load")
        print(output.strip())
        fleet.run_cli("status")
        counts = json.loads(output)
        answered = sum(counts[kind]["answered"] for kind in ("plain_chat", "streamed_chat", "bookings"))
        expected = arguments.chats + arguments.bookings
        print(f"{name}: {answered} of {expected} requests answered completely")
        codes.append(("requests without an answer", expected - answered))
        for daemon in list(fleet.processes):
            if daemon.startswith("entry") or os.path.exists(fleet.path(daemon + ".json")):
                codes.append(("planned stop of " + daemon, fleet.stop(daemon)))
    finally:
        fleet.stop_all()
    failures = [f"{check}: {code}" for check, code in codes if code != 0]
    print(f"{name}: {'all checks passed' if not failures else '; '.join(failures)}")
    return not failures


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--build", default=os.environ.get("SARDINELB_BUILD", "build"))
    parser.add_argument("--folder", default=None, help="for settings and logs; a temporary one by default")
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), action="append")
    parser.add_argument("--chats", type=int, default=500)
    parser.add_argument("--bookings", type=int, default=150)
    parser.add_argument("--rate", type=float, default=100)
    arguments = parser.parse_args()
    arguments.folder = arguments.folder or tempfile.mkdtemp(prefix="sardinelb-demo-")
    print(f"settings and logs: {arguments.folder}")
    passed = [run_deployment(name, arguments) for name in arguments.deployment or sorted(DEPLOYMENTS)]
    sys.exit(0 if all(passed) else 1)


if __name__ == "__main__":
    main()
