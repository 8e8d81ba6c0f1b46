"""A stand-in for the platform's metadata store (PROTOCOL.md). It is sound: it
answers at once, loses nothing and keeps its whole history."""

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

from wire import encode_response, read_message

LONGEST_RECORDED = 2000


class Store:
    def __init__(self, record):
        self._record = record
        self._kinds = {}
        self._events = []
        self._revision = 1
        self._changed = asyncio.Condition()
        self._server = None

    async def start(self, address):
        self._server = await asyncio.start_server(self._serve, *address)

    def close(self):
        self._server.close()

    def object(self, kind, name):
        return self._kinds.get(kind, {}).get(name)

    def names(self, kind):
        return sorted(self._kinds.get(kind, {}))

    async def put(self, kind, name, spec):
        """What the operator writes. The return is the acknowledgement."""
        await self._store(kind, name, spec)
        text = json.dumps(spec)
        shown = text if len(text) <= LONGEST_RECORDED else f"{len(text)} bytes"
        self._record.write("operator", f"wrote {kind}/{name}: {shown}")

    async def remove(self, kind, name):
        await self._delete(kind, name)
        self._record.write("operator", f"removed {kind}/{name}")

    async def _store(self, kind, name, spec):
        async with self._changed:
            objects = self._kinds.setdefault(kind, {})
            self._revision += 1
            created = objects[name]["meta"]["create_revision"] if name in objects else self._revision
            objects[name] = {
                "meta": {
                    "name": name,
                    "rev": self._revision,
                    "create_revision": created,
                    "finalizers": [],
                    "deleting": False,
                },
                "spec": spec,
                "status": {},
            }
            self._events.append((self._revision, kind, objects[name], False))
            self._changed.notify_all()
            return objects[name]

    async def _delete(self, kind, name):
        async with self._changed:
            removed = self._kinds[kind].pop(name)
            self._revision += 1
            gone = dict(removed, meta=dict(removed["meta"], rev=self._revision))
            self._events.append((self._revision, kind, gone, True))
            self._changed.notify_all()
            return gone

    async def _serve(self, reader, writer):
        try:
            while True:
                start, body = await read_message(reader)
                method, target, _ = start.split()
                status, answer = await self._handle(method, target, body)
                writer.write(encode_response(status, json.dumps(answer).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle(self, method, target, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = url.path.split("/")
        if parts[:3] != ["", "-", "objects"] or len(parts) not in (4, 5):
            return 404, {}
        kind = parts[3]
        name = parts[4] if len(parts) == 5 else None
        if method == "GET" and name is None:
            return await self._read(kind, query)
        return await self._change(method, kind, name, query, body)

    async def _read(self, kind, query):
        if "watch" in query:
            return 200, await self._watch(kind, int(query["watch"]), int(query["wait_ms"]))
        items = [item for _, item in sorted(self._kinds.get(kind, {}).items())]
        return 200, {"items": items, "more": False, "current_rev": self._revision}

    async def _watch(self, kind, since, wait_ms):
        def news():
            return [
                {"object": item, "deleted": deleted}
                for revision, of_kind, item, deleted in self._events
                if of_kind == kind and revision > since
            ]

        async with self._changed:
            try:
                await asyncio.wait_for(self._changed.wait_for(news), wait_ms / 1000)
            except asyncio.TimeoutError:
                pass
            return {"events": news(), "current_rev": self._revision}

    async def _change(self, method, kind, name, query, body):
        content = json.loads(body) if body else {}
        meta = content.get("meta", {})
        if method == "POST" and name is None:
            current = self.object(kind, meta["name"])
            if current:
                return 409, current
            return 201, await self._store(kind, meta["name"], content.get("spec"))
        current = self.object(kind, name)
        if current is None:
            return 404, {}
        if method == "GET":
            return 200, current
        expected = meta.get("rev", query.get("rev"))
        if expected is not None and int(expected) != current["meta"]["rev"]:
            return 409, current
        if method == "DELETE":
            return 200, await self._delete(kind, name)
        if method == "PUT":
            if current["spec"] == content.get("spec"):
                return 200, current
            return 200, await self._store(kind, name, content.get("spec"))
        return 404, {}
