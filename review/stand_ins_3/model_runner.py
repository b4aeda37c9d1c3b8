"""A stand-in of a model runner beside an agent, one process: its report, and what it says of the experts that were chosen.

    model_runner.py --ip IP --port N --rank N --size N [--trouble endless|spoilt]

With `endless`, an order is in progress, the reports are sound, and the answers to `GET /v1/picked` are bytes that are no answer and come without
end until the caller closes. With `spoilt`, one in 50 of all its answers is a list of far too many numbers.
"""

import argparse
import json
import socket
import threading
import time

SETS = 6
EXPERTS = 64
# 16 MB a second on each connection.
BLOCK = b" " * 65536
PAUSE_S = 0.004
# One in so many answers is spoilt: `garble` has x (.02).
SPOILT_INTERVAL = 50
SPOILT = b'{"counts":[' + b"0," * 4000000 + b"0]}"


class ModelRunner:
    def __init__(self, options):
        self.options = options
        self.born = int(time.time() * 1000)
        self.step = 0
        self.answers = 0

    def report(self):
        self.step += 1
        return {"stage": "colocated", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": self.options.trouble == "endless", "seq": 1, "queued": 0, "active": 1,
                "kv_used": 41000, "kv_total": 280000, "handles": 0, "born": self.born, "pace": 1.0, "size": self.options.size, "step": self.step,
                "map": 0, "prepared": None, "armed": None, "held": None,
                "group": {"name": "g-1", "epoch": 1, "rank": self.options.rank, "state": "open"}}

    def picked(self, is_list):
        if not is_list:
            return {"step": self.step, "epoch": 1, "counts": [self.step] * (SETS * EXPERTS)}
        held = [expert for expert in range(EXPERTS) if expert % self.options.size == self.options.rank]
        return {"step": self.step, "epoch": 1, "map": {"version": 0, "experts": [held] * SETS}, "prepared": None}

    def run(self):
        listener = socket.create_server((self.options.ip, self.options.port), backlog=256)
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            with connection:
                while True:
                    head = b""
                    while b"\r\n\r\n" not in head:
                        part = connection.recv(4096)
                        if not part:
                            return
                        head += part
                    target = head.split(b" ")[1].decode()
                    if target.startswith("/v1/picked") and self.options.trouble == "endless":
                        self.send_without_end(connection)
                        return
                    self.answers += 1
                    is_spoilt = self.options.trouble == "spoilt" and self.answers % SPOILT_INTERVAL == 0
                    body = SPOILT if is_spoilt else json.dumps(self.report() if target == "/v1/report" else self.picked("lists" in target)).encode()
                    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        except OSError:
            pass

    @staticmethod
    def send_without_end(connection):
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n")
        while True:
            connection.sendall(BLOCK)
            time.sleep(PAUSE_S)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--ip", required=True)
    for name in ("port", "rank", "size"):
        parser.add_argument("--" + name, type=int, required=True)
    parser.add_argument("--trouble", choices=("endless", "spoilt"))
    ModelRunner(parser.parse_args()).run()


if __name__ == "__main__":
    main()
