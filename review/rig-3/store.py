"""Stands in for the platform's store: topics with one partition, one door for each machine."""

import asyncio
import base64
import struct

import names
import web


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.changed = asyncio.Event()

    def append(self, records):
        first = len(self.records)
        for offset, record in enumerate(records, first):
            self.records.append(record)
            size = record[0]
            key, value = record[1:1 + size], record[1 + size:]
            if value:
                self.newest[key] = (value, offset)
            else:
                self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return first


class Door:
    """The path of one machine to the store."""

    def __init__(self, name):
        self.name = name
        # While set, calls that have arrived are carried out, their answers are lost, and no new
        # channel opens.
        self.answers_lost = False
        # While set, nothing arrives.
        self.cut = False
        self.old_channels = set()
        self.channels = set()

    def lose_answers(self):
        self.answers_lost = True
        self.old_channels = set(self.channels)

    def heal(self):
        self.answers_lost = False
        self.cut = False


class Store:
    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.doors = {}
        # The door of the latest append under a condition.
        self.last_conditional = None
        self.on_append = None

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def publish(self, key, text):
        name = key.encode()
        self.topic(names.OPERATOR_TOPIC).append([bytes([len(name)]) + name + text.encode()])

    async def open_door(self, name, host, port):
        door = Door(name)
        self.doors[name] = door

        async def handle(request, writer):
            if writer not in door.channels:
                door.channels.add(writer)
            if door.cut or (door.answers_lost and writer not in door.old_channels):
                return None
            answer = await self.handle(request, door)
            return None if door.answers_lost or door.cut else answer

        return await web.serve(host, port, handle)

    async def handle(self, request, door):
        if request.path == names.APPEND_PATH:
            return await self.append(request, door)
        if request.path == names.READ_PATH:
            return await self.read(request)
        if request.path == names.NEWEST_PATH:
            return self.list_newest(request)
        return web.json_response(404, {})

    async def append(self, request, door):
        topic = self.topic(request.query["Topic"])
        await asyncio.sleep(0.002)
        records, at = [], 0
        while at + 4 <= len(request.body):
            (length,) = struct.unpack_from(">I", request.body, at)
            records.append(request.body[at + 4:at + 4 + length])
            at += 4 + length
        if "At" in request.query:
            if int(request.query["At"]) != len(topic.records):
                return web.json_response(412, {names.END_OFFSET: len(topic.records)})
            self.last_conditional = door.name
        first = topic.append(records)
        if self.on_append:
            self.on_append(door, request.query["Topic"], records, first)
        await asyncio.sleep(0.002)
        return web.json_response(200, {"Offset": first, names.END_OFFSET: len(topic.records)})

    async def read(self, request):
        topic = self.topic(request.query["Topic"])
        start = int(request.query["From"])
        wait = min(int(request.query.get(names.WAIT, "0")), 30000) / 1000
        if start >= len(topic.records) and wait > 0:
            try:
                await asyncio.wait_for(topic.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        await asyncio.sleep(0.004)
        body = struct.pack(">QQ", len(topic.records), 0)
        for entry in topic.records[start:start + 1024]:
            body += struct.pack(">I", len(entry)) + entry
        return 200, body, "application/octet-stream"

    def list_newest(self, request):
        topic = self.topic(request.query["Topic"])
        after = request.query.get("After", "").encode()
        keys = sorted(key for key in topic.newest if key > after)
        items = [{"Key": key.decode(), "Value": base64.b64encode(topic.newest[key][0]).decode(),
                  "Offset": topic.newest[key][1]} for key in keys[:500]]
        return web.json_response(200, {"items": items, names.HAS_MORE: len(keys) > 500,
                                       names.END_OFFSET: len(topic.records)})
