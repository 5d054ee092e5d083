"""Stand-in of the platform's store and of its API for duties.

store.py STORE_IP:PORT API_IP:PORT LOG

Objects by kind and name, conditional writes, lists, watches. Entries of kind
"servers" change only when more than their sequence changes, and are removed
after three heartbeats of silence.
"""
import asyncio
import json
import sys
import time

import http_standin as http

HEARTBEAT_S = 1.2
PATH = "/laburnumpond/objects/"


class Store:
    def __init__(self):
        self.revision = 1
        self.objects = {}  # (kind, name) -> object
        self.events = []  # (revision, kind, object, deleted)
        self.seen = {}  # name of a server -> time of its last write
        self.changed = asyncio.Event()

    def note(self, kind, item, deleted):
        self.events.append((self.revision, kind, item, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, specification):
        old = self.objects.get((kind, name))
        if old and old["specification"] == specification:
            return old
        self.revision += 1
        item = {
            "metadata": {"name": name, "revision": self.revision},
            "specification": specification,
            "status": None,
        }
        self.objects[(kind, name)] = item
        self.note(kind, item, False)
        return item

    def remove(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item:
            self.revision += 1
            self.note(kind, item, True)
        return item

    def heartbeat(self, name, specification):
        self.seen[name] = time.monotonic()
        old = self.objects.get(("servers", name))
        if old:
            same = {**old["specification"], "sequence": specification["sequence"]}
            if same == specification:
                return old
        return self.put("servers", name, specification)

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            for name, at in list(self.seen.items()):
                if time.monotonic() - at > 3 * HEARTBEAT_S:
                    del self.seen[name]
                    self.remove("servers", name)

    async def watch(self, kind, since, wait_s):
        end = time.monotonic() + wait_s
        while True:
            found = [
                {"object": item, "deleted": deleted}
                for revision, changed, item, deleted in self.events
                if revision > since and changed == kind
            ]
            left = end - time.monotonic()
            if found or left <= 0:
                return {"events": found, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def respond(self, request):
        kind, _, name = request.path[len(PATH) :].partition("/")
        query = request.query()
        if request.method == "GET" and "watch" in query:
            wait_s = float(query.get("wait_ms", 0)) / 1000
            return 200, await self.watch(kind, int(query["watch"]), wait_s)
        if request.method == "GET" and not name:
            items = [o for (k, _), o in sorted(self.objects.items()) if k == kind]
            return 200, {
                "items": items,
                "has_more": False,
                "current_rev": self.revision,
            }
        if request.method == "GET":
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        if request.method == "DELETE":
            return (200, {}) if self.remove(kind, name) else (404, {})
        body = json.loads(request.body)
        expected = body["metadata"].get("revision")
        name = name or body["metadata"]["name"]
        held = self.objects.get((kind, name))
        if kind == "servers":
            return 200, self.heartbeat(name, body["specification"])
        if request.method == "POST" and held:
            return 409, held
        if request.method == "PUT" and not held:
            return 404, {}
        if held and expected is not None and expected != held["metadata"]["revision"]:
            return 409, held
        return 200, self.put(kind, name, body["specification"])


async def main():
    store_at, api_at = [
        (a.split(":")[0], int(a.split(":")[1])) for a in sys.argv[1:3]
    ]
    log = open(sys.argv[3], "a", buffering=1)
    store = Store()
    fences = {}

    async def objects(request, writer):
        await asyncio.sleep(0.004)
        status, body = await store.respond(request)
        text = json.dumps(body).encode()
        writer.write(http.answer(status, [("Content-Type", "application/json")], text))
        return True

    async def duties(request, writer):
        body = json.loads(request.body)
        subject = request.path
        if request.path == "/scale":
            subject += f" {body['service']} {body['zone']}"
        fence = int(request.fields["x-fencing-token"])
        accepted = fence >= fences.get(subject, 0)
        fences[subject] = max(fence, fences.get(subject, 0))
        call = {
            "duty": subject,
            "holder": request.fields["x-duty-holder"],
            "fence": fence,
            "body": body,
            "accepted": accepted,
        }
        print(json.dumps({"t": round(time.time(), 4), **call}), file=log)
        writer.write(http.answer(200 if accepted else 409, []))
        return True

    await http.serve(store_at, objects)
    await http.serve(api_at, duties)
    print(json.dumps({"t": round(time.time(), 4), "store": "up"}), file=log)
    await store.expire()


asyncio.run(main())
