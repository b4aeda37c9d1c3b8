"""Lets runners of a group give wrong but well-formed answers to real agents, and checks the passes and the map switches of the group.

Eight agents and an entry of `sardinelb-fleet` run beside stand-ins of the store and of a group of runners that follows the rules for orders. While the
answers are wrong, the agent of the coordinator and then all agents are ended and started again, and the group forms anew, so that
processes without memory have to learn the map in use. Then all answers are sound.

No pass may begin with two versions or contents of a map, no agent may end by itself, and the group has to go on switching.
One line a case; exits with 1 if a check failed.
"""

import argparse
import asyncio
import contextlib
import copy
import json
import os
import random
import re
import shutil
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "review", "stand_ins_3"))
import installation as stand_ins  # noqa: E402
from installation import HEARTBEAT_S, PEER_PORTS, CannotRun, Installation, route  # noqa: E402
from rank_group import ENGINE, EXPERTS, SETS, SIZE, Rank, RankGroup  # noqa: E402

SERVICE = "huvo11a"
# From a start, restarts and a new epoch in between.
WRONG_S = 15
RESTART_COORDINATOR_S = 5
RESTART_ALL_S = 8
REFORM_S = 11
# After the wrong answers.
SOUND_S = 10
# Demand shifts every three seconds, and each shift is worth a switch at least.
MIN_SOUND_SWITCHES = 3
# A rank gives a wrong answer after so many sound ones. Lists are read seldom, so that they are wrong more often.
SOUND_ANSWERS = 50
SOUND_ANSWERS_BEFORE_LIST = 8
SHARES = {"one": (3,), "half": (0, 3, 5, 7)}


def other_expert(held, chooser):
    return chooser.choice([expert for expert in range(EXPERTS) if expert not in held])


def change_list(change):
    """A case that changes the list of one set, or all lists."""
    def apply(group, rank, answer):
        lists = answer["map"]["experts"]
        number = group.random.randrange(len(lists))
        change(group, rank, lists, number)
    return "list", apply


def sole_expert(group, rank, lists, number):
    """Replaces an expert that no other rank holds."""
    ranks = rank.maps[rank.map][number]
    held = lists[number]
    sole = [place for place, expert in enumerate(held) if sum(expert in other for other in ranks) == 1]
    held[group.random.choice(sole or range(len(held)))] = other_expert(held, group.random)


def two_alike(group, _, lists, number):
    held = lists[number]
    held[0] = held[group.random.randrange(1, len(held))] if len(held) > 1 else held[0]
    if len(held) == 1:
        held.append(held[0])


def one_missing(group, _, lists, number):
    lists[number].pop(group.random.randrange(len(lists[number])))


def one_more(group, _, lists, number):
    lists[number].append(other_expert(lists[number], group.random))


def out_of_range(group, _, lists, number):
    lists[number][group.random.randrange(len(lists[number]))] = 65535


def fewer_sets(_, __, lists, number):
    lists.pop(number)


def list_of_prepared(_, __, answer):
    if answer["prepared"]:
        answer["map"]["experts"] = answer["prepared"]["experts"]
    else:
        answer["map"]["experts"] = [sorted((expert + 1) % EXPERTS for expert in held) for held in answer["map"]["experts"]]


def list_field(name, change):
    def apply(_, __, answer):
        if name == "version":
            answer["map"]["version"] = change(answer["map"]["version"])
        else:
            answer[name] = change(answer[name])
    return "list", apply


def report_field(name, change):
    def apply(_, rank, answer):
        answer[name] = change(rank, answer[name])
    return "report", apply


def group_field(name, change):
    def apply(_, __, answer):
        answer["group"][name] = change(answer["group"][name])
    return "report", apply


def highest_version(rank):
    return {"version": rank.highest}


def change_counts(change):
    def apply(group, _, answer):
        change(answer["counts"], group.random.randrange(SETS * EXPERTS))
    return "counts", apply


def high_count(counts, place):
    counts[place] |= 1 << 30


def low_count(counts, place):
    counts[place] = 0


# What is wrong, and in which answer.
CASES = {
    "list_sole_expert": change_list(sole_expert),
    "list_two_alike": change_list(two_alike),
    "list_one_missing": change_list(one_missing),
    "list_one_more": change_list(one_more),
    "list_out_of_range": change_list(out_of_range),
    "list_fewer_sets": change_list(fewer_sets),
    "list_of_prepared_map": ("list", list_of_prepared),
    "list_version": list_field("version", lambda version: version + 1),
    "list_epoch": list_field("epoch", lambda epoch: epoch + 1),
    "report_map": report_field("map", lambda _, version: version + 3),
    "report_map_huge": report_field("map", lambda _, version: version + (1 << 51)),
    "report_prepared": report_field("prepared", lambda rank, _: highest_version(rank)),
    "report_not_prepared": report_field("prepared", lambda *_: None),
    "report_armed": report_field("armed", lambda rank, armed: {**highest_version(rank), "step": rank.group.step + 1} if not armed else None),
    "report_held": report_field("held", lambda rank, held: None if held else {"step": rank.group.step + 2}),
    "report_step_ahead": report_field("step", lambda _, step: step + 100000),
    "report_step_bit": report_field("step", lambda _, step: step ^ 128),
    "report_step_back": report_field("step", lambda *_: 0),
    "report_size": report_field("size", lambda _, size: size + 1),
    "report_born": report_field("born", lambda _, born: born + 1),
    "report_pace": report_field("pace", lambda *_: 1000000.0),
    "report_epoch": group_field("epoch", lambda epoch: epoch + 1),
    "report_rank": group_field("rank", lambda rank: (rank + 1) % SIZE),
    "report_group": group_field("name", lambda name: name + "x"),
    "report_closed": group_field("state", lambda _: "broken"),
    "counts_high": change_counts(high_count),
    "counts_low": change_counts(low_count),
    "counts_fewer": change_counts(lambda counts, place: counts.pop(place)),
    "order_refused_as_accepted": ("refused", None),
    "order_accepted_as_refused": ("accepted", None),
    "none": ("none", None),
}


class WrongGroup(RankGroup):
    """A group of which some ranks give a wrong answer now and then."""

    def __init__(self, record, case, wrong_ranks, seed):
        super().__init__(record)
        self.kind, self.change = CASES[case]
        self.wrong_ranks = wrong_ranks
        self.random = random.Random(seed)
        self.epoch = 1
        self.wrong_answers = 0
        for rank in self.ranks:
            rank.group = self

    def reform(self):
        self.epoch += 1
        for number, old in enumerate(self.ranks):
            new = Rank(number)
            old.__dict__.update(new.__dict__, answers=old.answers, spoilt_at=old.spoilt_at, born=old.born)

    def is_wrong(self, rank, kind):
        pause = SOUND_ANSWERS_BEFORE_LIST if kind == "list" else SOUND_ANSWERS
        if kind != self.kind or rank.number not in self.wrong_ranks or rank.answers - rank.spoilt_at < pause:
            return False
        rank.spoilt_at = rank.answers
        self.wrong_answers += 1
        return True

    def spoilt(self, rank, kind, answer):
        if not self.is_wrong(rank, kind):
            return answer
        answer = copy.deepcopy(answer)
        self.change(self, rank, answer)
        return answer

    def report(self, rank):
        answer = super().report(rank)
        answer["group"]["epoch"] = self.epoch
        return self.spoilt(rank, "report", answer)

    def picked(self, rank, is_list):
        answer = super().picked(rank, is_list)
        answer["epoch"] = self.epoch
        return self.spoilt(rank, "list" if is_list else "counts", answer)

    def order(self, rank, body):
        epoch = body.pop("epoch", self.epoch)
        status = super().order(rank, body) if epoch == self.epoch else 409
        if status == 409 and self.is_wrong(rank, "refused"):
            return 202
        if status == 202 and self.is_wrong(rank, "accepted"):
            return 409
        return status


class Group:
    """The processes of a case."""

    def __init__(self, installation, group):
        self.installation = installation
        self.group = group
        self.agents = []
        self.ended = 0

    async def list_runners(self):
        seq = 0
        while True:
            seq += 1
            for number, address in enumerate(self.addresses):
                value = {"service": SERVICE, "address": "%s:%d" % address, "zone": "zone-a", "version": 1, "slots": ENGINE["slots"], "state": "ready",
                         "cold_left_ms": 0, "seq": seq}
                await self.installation.store.heartbeat(f"m-{number}", json.dumps(value))
            await asyncio.sleep(HEARTBEAT_S)

    async def start(self):
        service = {"name": SERVICE, "health_path": "/healthz", "max_conns": 338, "protocol": "h1", "tls": False, "engine": ENGINE}
        await self.installation.configure([{**route("write", "streaming", 8000), "service": SERVICE}], services=[service])
        await self.installation.start_entries()
        self.ports = self.installation.entries[0][1][1] - PEER_PORTS
        self.addresses = [(self.installation.ip(101 + number), self.ports + PEER_PORTS) for number in range(SIZE)]
        await self.group.start(self.addresses)
        self.listing = asyncio.ensure_future(self.list_runners())
        for number in range(SIZE):
            self.agents.append(self.start_agent(number))

    def start_agent(self, number):
        return self.installation.start_daemon(self.installation.agent_settings(number + 1, self.ports, self.addresses[number]))

    def restart(self, numbers):
        for number in numbers:
            self.ended += self.agents[number].poll() is not None
            self.agents[number].kill()
            self.agents[number].wait()
            self.agents[number] = self.start_agent(number)

    async def play(self):
        """Returns the number of switches while answers are wrong and after."""
        began = time.monotonic()
        events = [(RESTART_COORDINATOR_S, lambda: self.restart([0])), (RESTART_ALL_S, lambda: self.restart(range(SIZE))), (REFORM_S, self.group.reform)]
        for at, action in events:
            await self.group.run(began + at)
            action()
        await self.group.run(began + WRONG_S)
        wrong = self.group.switches
        self.group.wrong_ranks = ()
        await self.group.run(began + WRONG_S + SOUND_S)
        return wrong, self.group.switches - wrong

    def stop(self):
        self.listing.cancel()
        self.group.stop()
        self.ended += sum(agent.poll() is not None for agent in self.agents)


def make_root(folder, build):
    """A folder with the deploy file, whose commands are those of the build."""
    os.makedirs(os.path.join(folder, "deploy"))
    with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as file:
        deploy = file.read().replace("target/", os.path.abspath(build) + "/")
    with open(os.path.join(folder, "deploy/system.toml"), "w", encoding="utf-8") as file:
        file.write(deploy)


def count_log_lines(folder, pattern):
    count = 0
    for name in os.listdir(folder):
        if name.endswith(".log"):
            with open(os.path.join(folder, name), encoding="utf-8", errors="replace") as file:
                count += sum(bool(re.search(pattern, line)) for line in file)
    return count


@contextlib.asynccontextmanager
async def started_group(build, group_for):
    """Starts the processes of a build beside the group that `group_for` makes for an installation."""
    with tempfile.TemporaryDirectory(prefix="sardinelb-group-") as folder:
        make_root(folder, build)
        stand_ins.ROOT = folder
        async with Installation(os.path.join(folder, "record.txt")) as installation:
            processes = Group(installation, group_for(installation))
            await processes.start()
            yield processes


def group_problems(processes):
    problems = []
    if processes.group.broken:
        problems.append(f"{processes.group.broken} passes with different maps")
    if processes.ended:
        problems.append(f"{processes.ended} agents ended")
    return problems


async def play(case, share, options):
    async with started_group(options.build, lambda installation: WrongGroup(installation.record, case, SHARES[share], options.seed)) as processes:
        wrong, sound = await processes.play()
        processes.stop()
        group = processes.group
        folder = processes.installation.folder
        lines = count_log_lines(folder, '"event":"answer_broken"')
        if options.keep:
            shutil.copytree(folder, os.path.join(options.keep, f"{case}-{share}"), dirs_exist_ok=True)
    problems = group_problems(processes)
    if sound < MIN_SOUND_SWITCHES:
        problems.append(f"only {sound} switches after the wrong answers")
    print(f"{case} {share}: {'; '.join(problems) or 'held'} ({group.wrong_answers} wrong answers, {wrong} switches beside them, {sound} after, {lines} log lines)", flush=True)
    return bool(problems)


async def play_all(options):
    failed = False
    for case in options.case or CASES:
        for share in (options.share,) if options.share else SHARES:
            failed = await play(case, share, options) or failed
    return failed


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", required=True, help="the build folder")
    parser.add_argument("--case", action="append", choices=CASES, metavar="NAME", help="all by default")
    parser.add_argument("--share", choices=SHARES, help="of the ranks; both by default")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", help="folder for logs")
    options = parser.parse_args()
    try:
        sys.exit(1 if asyncio.run(play_all(options)) else 0)
    except (CannotRun, OSError) as error:
        print(f"could not run: {error}")
        sys.exit(2)


if __name__ == "__main__":
    main()
