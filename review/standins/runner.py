"""Stand-in of one runner: a model engine and a plain service.

runner.py ID IP:PORT STORE_IP:PORT LOG SETTINGS

SETTINGS is JSON: service, zone, version, slots; events and gap_ms of a stream;
work_ms, status and answer_bytes of any other request. Each run is written to
LOG when it begins and when it ends.
"""
import asyncio
import json
import sys
import time

import http_standin as http

HEARTBEAT_S = 1.2


def address(text):
    host, port = text.rsplit(":", 1)
    return host, int(port)


class Runner:
    def __init__(self, name, settings, log):
        self.name = name
        self.settings = settings
        self.log_file = log
        self.runs = 0
        self.active = 0
        self.born = int(time.time() * 1000)

    def log(self, **line):
        line = {"t": round(time.time(), 4), "runner": self.name, **line}
        print(json.dumps(line), file=self.log_file)

    def fields(self, request):
        return [
            ("X-Attempt-Id", request.fields["x-attempt-id"]),
            ("X-Instance-Load", f"{self.active},0,{self.settings['slots']}"),
            ("Keep-Alive", "timeout=5"),
        ]

    async def handle(self, request, writer):
        if request.path == "/healthz":
            writer.write(http.answer(200, [("X-Instance-Id", self.name)]))
            return True
        if "x-attempt-id" not in request.fields:
            writer.write(http.answer(400, [("X-Not-Executed", "1")]))
            return True
        fields = self.fields(request)
        if request.fields.get("x-expect-instance", self.name) != self.name:
            writer.write(http.answer(421, [*fields, ("X-Not-Executed", "1")]))
            return True
        if self.active >= self.settings["slots"]:
            writer.write(http.answer(503, [*fields, ("X-Not-Executed", "1")]))
            return True
        self.active += 1
        try:
            await self.run(request, writer, fields)
        finally:
            self.active -= 1
        return True

    async def run(self, request, writer, fields):
        self.runs += 1
        run = f"{self.name}/{self.runs}"
        attempt = request.fields["x-attempt-id"]
        last = request.fields.get("last-event-id")
        self.log(
            run=run,
            attempt=attempt,
            path=request.path,
            last_event_id=last,
            deadline_ms=request.fields.get("x-deadline-ms"),
        )
        fields = [*fields, ("X-Server-Stamp", run.replace("/", "."))]
        if self.settings.get("events"):
            await self.stream(request, writer, fields, run, int(last or 0))
        else:
            await asyncio.sleep(self.settings["work_ms"] / 1000)
            body = f"done by {run}\n".encode()
            body += b"." * max(0, self.settings.get("answer_bytes", 0) - len(body))
            writer.write(http.answer(self.settings["status"], fields, body))
        await writer.drain()
        self.log(ended=run, attempt=attempt)

    async def stream(self, request, writer, fields, run, last):
        """A run without Last-Event-Id begins with event 1; one with it goes on
        behind that event. The text is the run's own, as sampling gives it."""
        fields = [
            *fields,
            ("Content-Type", "text/event-stream"),
            ("X-Weight-Versions", "1"),
            ("Transfer-Encoding", "chunked"),
        ]
        writer.write(http.head(200, fields))
        for number in range(last + 1, self.settings["events"] + 1):
            event = f"id: {number}\ndata: run={run} piece={number}\n\n"
            writer.write(http.chunk(event.encode()))
            await writer.drain()
            if writer.is_closing():
                raise ConnectionResetError
            await asyncio.sleep(self.settings["gap_ms"] / 1000)
        writer.write(b"0\r\n\r\n")

    async def register(self, own, store):
        sequence = 0
        while True:
            sequence += 1
            entry = {
                "service": self.settings["service"],
                "address": own,
                "zone": self.settings["zone"],
                "version": self.settings["version"],
                "slots": self.settings["slots"],
                "state": "ready",
                "cold_remaining_ms": 0,
                "born": self.born,
                "sequence": sequence,
            }
            body = {"metadata": {"name": self.name}, "specification": entry}
            target = f"/laburnumpond/objects/servers/{self.name}"
            try:
                await http.call(store, "PUT", target, (), json.dumps(body).encode())
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(HEARTBEAT_S)


async def main():
    name, own, store, log, settings = sys.argv[1:6]
    runner = Runner(name, json.loads(settings), open(log, "a", buffering=1))
    await http.serve(address(own), runner.handle)
    await runner.register(own, address(store))


asyncio.run(main())
