"""Stands in for the platform's store: topics of one partition, kept in memory."""

import asyncio
import base64
import json
import struct

import names


class Store:
    """Topics with appends under a condition, waiting reads and listings of the newest records.

    Each machine reaches it through a `Gate` of its own.
    """

    RECORD_BYTES = 262144
    REQUEST_BYTES = 2097152

    def __init__(self):
        self.topics = {}
        self.grown = asyncio.Condition()

    def records(self, topic):
        return self.topics.setdefault(topic, [])

    async def publish(self, config):
        """Writes the operator's configuration."""
        await self.add(names.OPERATOR_TOPIC,
                       [b"\x06config" + json.dumps(config).encode()])

    async def add(self, topic, records):
        self.records(topic).extend(records)
        async with self.grown:
            self.grown.notify_all()

    async def append(self, request):
        topic = request.query["Topic"]
        held = self.records(topic)
        if "At" in request.query and int(request.query["At"]) != len(held):
            return 412, {names.END_OFFSET: len(held)}
        added = []
        rest = request.body
        while rest:
            size = struct.unpack(">I", rest[:4])[0]
            added.append(rest[4:4 + size])
            rest = rest[4 + size:]
        if len(request.body) > self.REQUEST_BYTES or any(
                len(record) > self.RECORD_BYTES for record in added):
            return 400, {}
        first = len(held)
        await self.add(topic, added)
        return 200, {"Offset": first, names.END_OFFSET: first + len(added)}

    async def read(self, request):
        held = self.records(request.query["Topic"])
        start = int(request.query["From"])
        wait = int(request.query.get(names.WAIT, "0")) / 1000
        try:
            async with self.grown:
                await asyncio.wait_for(self.grown.wait_for(lambda: len(held) > start), wait)
        except asyncio.TimeoutError:
            pass
        body = struct.pack(">QQ", len(held), 0)
        for record in held[start:start + 2000]:
            body += struct.pack(">I", len(record)) + record
        return 200, body

    async def newest(self, request):
        held = self.records(request.query["Topic"])
        found = {}
        for offset, record in enumerate(held):
            key = record[1:1 + record[0]].decode()
            value = record[1 + record[0]:]
            found.pop(key, None)
            if value:
                found[key] = {"Key": key, "Value": base64.b64encode(value).decode(),
                              "Offset": offset}
        after = request.query.get("After", "")
        keys = sorted(key for key in found if key > after)
        return 200, {"items": [found[key] for key in keys[:500]], names.HAS_MORE: len(keys) > 500,
                     names.END_OFFSET: len(held)}


class Gate:
    """The way of one machine to the store; while it is turned away, its calls get 503."""

    DELAY_S = 0.004

    def __init__(self, store):
        self.store = store
        self.turned_away = False

    async def handle(self, request):
        await asyncio.sleep(self.DELAY_S)
        if self.turned_away:
            return 503, {}
        if request.path == names.APPEND:
            return await self.store.append(request)
        if request.path == names.READ:
            answer = await self.store.read(request)
            return (503, {}) if self.turned_away else answer
        if request.path == names.NEWEST:
            return await self.store.newest(request)
        return 404, {}
