"""Lets half of the runners of a group answer with far more than a question can have for an answer, and checks the agents beside them.

The agents have machines of 128 MB. Each case gives one of its shapes in place of one in eight answers to reports, lists, counts and orders. No agent may
end or take more than its machine has, and afterwards the group has to switch its map. One line a case with the highest peak of an agent;
exits with 1 if a check failed.
"""

import argparse
import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from wrong_answers import SHARES, CannotRun, WrongGroup, count_log_lines, group_problems, started_group  # noqa: E402
import http_parts  # noqa: E402

MEMORY_KIB = 128 * 1024
MEBIBYTE = 1 << 20
LARGE_S = 10
SOUND_S = 8
LARGE_INTERVAL = 8
MIN_SOUND_SWITCHES = 2
# An endless answer is bounded by this.
ENDLESS_BLOCKS = 1000
BLOCK = b" " * 65536


def framed(body):
    return [b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body), body]


def chunked(body, size):
    parts = b"".join(b"%x\r\n%s\r\n" % (len(body[begin:begin + size]), body[begin:begin + size]) for begin in range(0, len(body), size))
    return [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", parts, b"0\r\n\r\n"]


# Just within the 8 MiB that agents once took of any answer.
LONG = 8000000
# Within the length of a list of experts, so that they are parsed.
INSIDE = 500000
CASES = {
    "numbers": framed(b'{"counts":[' + b"0," * (LONG // 2) + b"0]}"),
    "numbers_inside": framed(b'{"counts":[' + b"0," * (INSIDE // 2) + b"0]}"),
    "lists_inside": framed(b'{"map":[' + b"[]," * (INSIDE // 3) + b"0]}"),
    "keys_inside": framed(b"{" + b'"":0,' * (INSIDE // 5) + b'"":0}'),
    "objects_inside": framed(b'{"map":[' + b'{"a":{}},' * (INSIDE // 9) + b"0]}"),
    "deep": framed(b"[" * LONG),
    "deep_inside": framed(b'{"a":' * (INSIDE // 5) + b"0" + b"}" * (INSIDE // 5)),
    "text": framed(b'{"group":{"name":"' + b"g" * LONG + b'"}}'),
    "escapes_inside": framed(b'{"group":{"name":"' + b"\\u00e9" * (INSIDE // 6) + b'"}}'),
    "huge_number": framed(b'{"step":' + b"9" * INSIDE + b"}"),
    "small_chunks": chunked(b"0," * MEBIBYTE, 3),
    "long_head": [b"HTTP/1.1 200 OK\r\nX: " + b"x" * LONG],
    "many_fields": [b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * MEBIBYTE],
    "long_trailer": [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n" + b"X: y\r\n" * MEBIBYTE],
    "announced": [b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (1 << 50), BLOCK],
    "endless": [b"HTTP/1.1 200 OK\r\n\r\n"] + [BLOCK] * ENDLESS_BLOCKS,
}


class LargeGroup(WrongGroup):
    """A group of which some ranks give an answer of some shape now and then."""

    def __init__(self, record, shape, wrong_ranks):
        super().__init__(record, "none", wrong_ranks, 1)
        self.shape = shape

    def sound_answer(self, rank, request):
        if request.method == "POST":
            return self.order(rank, json.loads(request.body)), b"{}"
        body = self.report(rank) if request.target == "/v1/report" else self.picked(rank, "lists" in request.target)
        return 200, json.dumps(body).encode()

    async def serve(self, rank, reader, writer):
        try:
            while True:
                request = await http_parts.read_request(reader)
                if request is None:
                    break
                rank.answers += 1
                status, body = self.sound_answer(rank, request)
                if rank.number in self.wrong_ranks and rank.answers % LARGE_INTERVAL == 0:
                    self.wrong_answers += 1
                    for part in self.shape:
                        writer.write(part)
                        await writer.drain()
                    break
                writer.write(http_parts.response_bytes(status, {"Content-Type": "application/json"}, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def peak_kib(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        return next((int(line.split()[1]) for line in file if line.startswith("VmHWM:")), 0)


async def play(case, options):
    async with started_group(options.build, lambda installation: LargeGroup(installation.record, CASES[case], SHARES["half"])) as processes:
        group = processes.group
        began = time.monotonic()
        await group.run(began + LARGE_S)
        group.wrong_ranks = ()
        before = group.switches
        await group.run(began + LARGE_S + SOUND_S)
        peak = max(peak_kib(agent.pid) for agent in processes.agents)
        processes.stop()
        lines = count_log_lines(processes.installation.folder, '"event":"answer_broken"')
    problems = group_problems(processes)
    if peak > MEMORY_KIB:
        problems.append("an agent has taken more than its machine has")
    if group.switches - before < MIN_SOUND_SWITCHES:
        problems.append(f"only {group.switches - before} switches after the large answers")
    if not lines:
        problems.append("no log line tells of a broken answer")
    print(f"{case}: {'; '.join(problems) or 'held'} ({group.wrong_answers} large answers, peak of an agent {peak / 1024:.1f} MiB, {lines} log lines)", flush=True)
    return bool(problems)


async def play_all(options):
    failed = False
    for case in options.case or CASES:
        failed = await play(case, options) or failed
    return failed


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", required=True, help="the build folder")
    parser.add_argument("--case", action="append", choices=CASES, metavar="NAME", help="all by default")
    options = parser.parse_args()
    try:
        sys.exit(1 if asyncio.run(play_all(options)) else 0)
    except (CannotRun, OSError) as error:
        print(f"could not run: {error}")
        sys.exit(2)


if __name__ == "__main__":
    main()
