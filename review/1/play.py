"""A stream that its instance passes on to another instance midway."""
import asyncio
import os
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "standins"))

import fleet as fleets
import http_standin as http

SERVICE = "dossier-writer"
EVENTS, GAP_MS = 48, 60
ROUNDS = 3
# 12 runners, of which 3 crash: a share of 0.25. Others are back after 2 s.
DOWN_S = 2.0
PLACES = {"fukuoka-a": 3, "kumamoto-a": 5, "kagoshima-a": 4}


def configuration():
    return {
        "version": 3,
        "routes": [
            fleets.route(
                "dossier",
                "/dossier/",
                "streaming",
                SERVICE,
                stream_resume=True,
                timeout_ms=10000,
                target_latency_ms=800,
                gap_target_ms=300,
            )
        ],
        "services": [
            {"name": SERVICE, "health_path": "/healthz", "connection_limit": 210}
        ],
        "tenants": [{"name": "dairy", "api_keys": [fleets.KEY]}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 20000,
        },
    }


async def stream(fleet, entry, attempt, on_event):
    """Sends one request and returns the events' identifiers and runs, and
    whether the answer looked complete."""
    fleet.note(sent=attempt, to=entry.name)
    reader, writer = await asyncio.open_connection(entry.ip, fleets.FRONTEND)
    writer.write(
        (
            f"POST /dossier/{attempt} HTTP/1.1\r\nHost: {fleets.HOST}\r\n"
            f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 10000\r\n"
            f"X-Key: {fleets.KEY}\r\nX-Model: m\r\nX-Token-Counts: 6610,384\r\n"
            "Content-Length: 5\r\n\r\nwheel"
        ).encode()
    )
    events, complete = [], False
    try:
        first, _ = await http.read_head(reader)
        fleet.note(answered=attempt, status=first.split(" ")[1])
        text = b""
        while piece := await http.read_chunk(reader):
            text += piece
            while b"\n\n" in text:
                event, text = text.split(b"\n\n", 1)
                number, data = event.decode().split("\n")
                events.append((int(number[4:]), data.split("run=")[1].split(" ")[0]))
                on_event(events)
        complete = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    finally:
        writer.close()
    fleet.note(ended_at_client=attempt, complete=complete, events=events)
    return events, complete


def judge(fleet, attempt, events):
    """Returns what is wrong with the stream that the client got."""
    begun = {line["run"]: line for line in fleet.lines() if "run" in line}
    for (number, run), (next_number, next_run) in zip(events, events[1:]):
        if next_number != number + 1:
            return f"ORDER: {attempt}: event {next_number} follows event {number}"
        goes_on_at = begun[next_run]["last_event_id"]
        if next_run != run and goes_on_at != str(number):
            return (
                f"ORDER: {attempt}: events up to {number} are of run {run}, event "
                f"{next_number} is of run {next_run}, which was begun with "
                f"Last-Event-Id {goes_on_at}"
            )
    return None


async def play(fleet):
    await fleet.start_store(configuration())
    for zone, count in PLACES.items():
        for number in range(count):
            start(fleet, zone, f"i-{zone[:3]}-{number}")
    entry = fleet.start_entry("edge-fukuoka-a-1", "fukuoka-a")
    fleet.start_entry("edge-kumamoto-a-1", "kumamoto-a")
    fleet.start_entry("edge-kagoshima-a-1", "kagoshima-a")
    await fleet.await_ready()
    for turn in range(ROUNDS):
        attempt = f"attempt-{turn + 1}"
        near = [name for name in fleet.runners if name.startswith("i-fuk")]
        crashed = []
        restart = None

        def on_event(events):
            nonlocal restart
            if fleets.trouble() and len(events) == 16 and not crashed:
                # All within milliseconds, the one at work last: the others
                # are gone when its connection breaks.
                at_work = events[0][1].split("/")[0]
                crashed.extend(sorted(near, key=lambda name: name == at_work))
                for name in crashed:
                    fleet.kill_runner(name)
                restart = asyncio.create_task(start_again(fleet, entry, turn))

        events, _ = await stream(fleet, entry, attempt, on_event)
        if broken := judge(fleet, attempt, events):
            return broken
        if restart:
            await restart
        await asyncio.sleep(4)
    return None


async def start_again(fleet, entry, turn):
    """The crashed runners start again, each as a new one."""
    await asyncio.sleep(DOWN_S)
    names = [f"i-fuk-{turn + 1}-{number}" for number in range(PLACES["fukuoka-a"])]
    for name in names:
        start(fleet, "fukuoka-a", name)
    for name in names:
        await fleet.await_output(entry.name, name)


def start(fleet, zone, name):
    fleet.start_runner(
        name,
        {
            "service": SERVICE,
            "zone": zone,
            "version": "v1",
            "slots": 24,
            "events": EVENTS,
            "gap_ms": GAP_MS,
        },
    )


fleets.main(CASE, play)
