"""Runners of a plain service in processes of their own, with their rows in the store's table."""

import asyncio
import json
import os
import sys
import time

import deployment as stand_ins

PROGRAM = os.path.join(os.path.dirname(os.path.abspath(__file__)), "plain_runner.py")


class ServiceRunner:
    def __init__(self, deployment, service, number, *options):
        self.deployment = deployment
        self.service = service
        self.options = options
        self.name = f"i-{number:02d}7f3a91"
        self.ip = f"{deployment.network}.{100 + number}"
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.process = None

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(sys.executable, PROGRAM, self.ip, str(self.deployment.app_port), self.name, *self.options, stdout=asyncio.subprocess.PIPE)
        self.deployment.run_in_background(self.record_lines())
        self.deployment.run_in_background(self.beat())
        self.write_row()

    async def record_lines(self):
        async for line in self.process.stdout:
            self.deployment.record.write(line.decode().strip())

    def write_row(self):
        self.sequence += 1
        row = {"service": self.service, "address": f"{self.ip}:{self.deployment.app_port}", "zone": stand_ins.ZONE, "version": "v1", "slots": 12,
               "state": self.state, "cold_left_ms": 0, "seq": self.sequence, "born": self.born}
        self.deployment.store.put("servers", self.name, json.dumps(row).encode())

    async def beat(self):
        while True:
            await asyncio.sleep(stand_ins.HEARTBEAT_S)
            if self.process.returncode is None:
                self.write_row()

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def service_entry(name):
    """The service in the desired state."""
    return {"name": name, "health_path": "/healthz", "max_conns": 300, "protocol": "h1", "tls": False}
