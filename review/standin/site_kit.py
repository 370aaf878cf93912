"""A small deployment on loopback addresses: a store, routers as processes, and helpers for runners and clients.

The store speaks the calls of the metadata store that a router uses: newest, read, append (with `at`). It is sound: it
answers at once, linearizably, and loses nothing. Routers are started with the command of deploy/system.toml and with
settings rendered from deploy/settings.json.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "site.example"
# The bounds of the small deployments (`SYSTEM.md`).
BOUNDS = {"stableWindowMs": 3000, "graceS": 8, "configApplyMs": 2000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
          "budgetSlack": 52}


class Record:
    """Writes record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.start = time.monotonic()

    def say(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        self.file.write(line + "\n")
        print(line, flush=True)


class Store:
    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Condition()
        self.address = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]
        return server

    async def put(self, topic, key, value):
        record = bytes([len(key)]) + key.encode() + json.dumps(value).encode()
        async with self.changed:
            self.topics.setdefault(topic, []).append(record)
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while True:
                method, target, _, body = await read_request(reader)
                path, _, query = target.partition("?")
                query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
                await asyncio.sleep(0.004)
                status, answer = await self.answer(path, query, body)
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(answer)}\r\n\r\n"
                writer.write(head.encode() + answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, path, query, body):
        topic = query["topic"]
        if path == "/api/log-newest":
            newest = {}
            for offset, record in enumerate(self.topics.get(topic, [])):
                key = record[1:1 + record[0]].decode()
                value = record[1 + record[0]:]
                newest.pop(key, None)
                if value:
                    newest[key] = {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            # All keys stand on one page: these deployments have fewer than 500.
            page = {"items": [newest[key] for key in sorted(newest)], "hasMore": False,
                    "end": len(self.topics.get(topic, []))}
            return 200, json.dumps(page).encode()
        if path == "/api/log-read":
            start = int(query["from"])
            wait = int(query.get("waitMs", "0")) / 1000
            async with self.changed:
                grown = self.changed.wait_for(lambda: len(self.topics.get(topic, [])) > start)
                try:
                    await asyncio.wait_for(grown, wait) if wait else None
                except asyncio.TimeoutError:
                    pass
            records = self.topics.get(topic, [])
            out = struct.pack(">QQ", len(records), 0)
            for record in records[start:]:
                out += struct.pack(">I", len(record)) + record
            return 200, out
        if path == "/api/log-append":
            async with self.changed:
                records = self.topics.setdefault(topic, [])
                offset = len(records)
                if "at" in query and int(query["at"]) != offset:
                    return 412, json.dumps({"end": offset}).encode()
                while body:
                    length = struct.unpack(">I", body[:4])[0]
                    records.append(body[4:4 + length])
                    body = body[4 + length:]
                self.changed.notify_all()
                return 200, json.dumps({"offset": offset, "end": len(records)}).encode()
        return 404, b""


async def read_request(reader):
    """Reads a request: method, target, headers (lower-case names) and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif "chunked" in headers.get("transfer-encoding", ""):
        body = await read_chunks(reader)
    return method, target, headers, body


async def read_chunks(reader, on_chunk=None):
    body = b""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise asyncio.IncompleteReadError(line, None)
        size = int(line.split(b";")[0], 16)
        chunk = await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body
        body += chunk
        if on_chunk:
            on_chunk(chunk)


class Answer:
    """What a client saw: the status (none if the channel ended first), and whether the body was complete."""

    def __init__(self):
        self.status, self.headers, self.body, self.complete, self.took, self.end = None, {}, b"", False, None, "?"

    def __str__(self):
        return f"status={self.status} complete={self.complete} end={self.end} bytes={len(self.body)} took={self.took:.3f}s"


async def ask(address, method, path, headers, body=b"", limit=10.0, on_chunk=None, keep=None):
    """Sends one request and reads its answer, as a client that waits for `limit` seconds and then closes its channel."""
    answer, start = Answer(), time.monotonic()
    writer = None
    try:
        if keep:
            reader, writer = keep
        else:
            host, port = address.rsplit(":", 1)
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"] + [f"{k}: {v}" for k, v in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()

        async def read():
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            answer.status = int(head[0].split(" ")[1])
            for line in head[1:]:
                if line:
                    name, _, value = line.partition(":")
                    answer.headers[name.lower()] = value.strip()

            def more(chunk):
                answer.body += chunk
                if on_chunk:
                    on_chunk(chunk)
            if "chunked" in answer.headers.get("transfer-encoding", ""):
                await read_chunks(reader, more)
            else:
                more(await reader.readexactly(int(answer.headers.get("content-length", "0"))))
            answer.complete, answer.end = True, "whole"
        await asyncio.wait_for(read(), limit)
    except asyncio.TimeoutError:
        answer.end = "time limit"
    except asyncio.IncompleteReadError:
        answer.end = "channel closed"
    except ConnectionError as error:
        answer.end = f"channel broken ({type(error).__name__})"
    finally:
        if writer and not keep:
            writer.close()
    answer.took = time.monotonic() - start
    return answer


class Router:
    """A router's process on a loopback address of its own."""

    def __init__(self, site, number):
        self.site, self.number, self.process = site, number, None
        self.ip = f"127.0.{site.net}.{number + 1}"
        self.name = f"edge-{number}"
        ports = free_ports(self.ip, 6)
        self.front, self.ready, self.directory, self.peer, self.forward, self.admin = (f"{self.ip}:{p}" for p in ports)
        # The forwarding port is the one after the first internal port.
        base = int(self.peer.rsplit(":", 1)[1])
        self.internal = [base, base + 2]
        self.log = os.path.join(site.dir, self.name + ".log")

    def settings(self):
        fields = {"nodeName": self.name, "zone": "zone-a", "ip": self.ip, "internalPorts": self.internal,
                  "listen": {"front": self.front, "ready": self.ready, "directory": self.directory},
                  "platform": {"address": self.site.store.address},
                  "limits": {"cpuShare": 0.25, "linkMbps": 1000.0, "maxFds": 4100}, "bounds": BOUNDS}

        def fill(match):
            path, as_json = match.group(1), match.group(2)
            value = fields
            for part in path.split("."):
                value = value[int(part)] if isinstance(value, list) else value[part]
            return json.dumps(value) if as_json else str(value)
        with open(os.path.join(ROOT, "deploy/settings.json")) as template:
            return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, template.read())

    async def start(self):
        path = os.path.join(self.site.dir, self.name + ".json")
        with open(path, "w") as file:
            file.write(self.settings())
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as deploy:
            run = tomllib.load(deploy)["roles"]["router"]["run"].split()
        words = [path if word == "/etc/jasmineridge/node.toml" else word for word in run]
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, stdout=open(self.log, "a"), stderr=asyncio.subprocess.STDOUT)
        self.site.record.say(f"start {self.name} pid={self.process.pid} front={self.front}")

    async def wait_ready(self, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            answer = await ask(self.ready, "GET", "/api/ready", {}, limit=1.0)
            if answer.status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    def logged(self):
        with open(self.log, errors="replace") as log:
            return log.read()


def free_ports(ip, count):
    """Returns free ports of an address; the fourth and the two after it follow each other."""
    while True:
        with socket.socket() as probe:
            probe.bind((ip, 0))
            first = probe.getsockname()[1]
        ports = [first + i for i in range(count)]
        if ports[-1] > 60000:
            continue
        try:
            for port in ports:
                with socket.socket() as probe:
                    probe.bind((ip, port))
            return ports
        except OSError:
            continue


class Site:
    """The deployment of one case."""

    def __init__(self, folder, routers):
        self.record = Record(folder)
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.net = 100 + os.getpid() % 100
        self.store = Store()
        self.routers = [Router(self, n) for n in range(routers)]
        self.runners = {}

    async def start(self, config):
        server = await self.store.start()
        await self.store.put("keyed.op", "config", config)
        self.beats = asyncio.create_task(self.beat())
        for router in self.routers:
            await router.start()
        for router in self.routers:
            if not await router.wait_ready():
                return False
        # Routers learn of each other, and the machines have been in touch for stableWindowMs.
        await asyncio.sleep(BOUNDS["stableWindowMs"] / 1000 + 1)
        return True

    async def add_runner(self, service, handler, slots=64):
        server = await asyncio.start_server(handler, "127.0.0.1", 0)
        name = f"i-{service}-{len(self.runners)}"
        entry = {"service": service, "address": "%s:%d" % server.sockets[0].getsockname()[:2], "zone": "zone-a",
                 "version": "v1", "slots": slots, "state": "ready", "coldRemainingMs": 0,
                 "born": int(time.time() * 1000), "sequence": 0}
        self.runners[name] = entry
        return name

    async def beat(self):
        while True:
            for name, entry in self.runners.items():
                entry["sequence"] += 1
                await self.store.put("keyed.servers", name, entry)
            await asyncio.sleep(1.2)

    async def stop(self):
        for router in self.routers:
            if router.process and router.process.returncode is None:
                router.process.kill()
                await router.process.wait()
        shutil.rmtree(self.dir, ignore_errors=True)


def route(name, kind, service, **more):
    return {"name": name, "host": HOST, "pathPrefix": f"/{name}/", "kind": kind, "timeoutMs": 4000,
            "targetLatencyMs": 300, "priority": 1, "service": service, "maxAttempts": 2, "public": False, **more}


def config(routes, services, tenants):
    return {"version": 7, "routes": routes, "services": services, "tenants": tenants,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


def service(name, engine=False):
    plain = {"name": name, "healthPath": "/health", "maxConnections": 360, "protocol": "h1", "tls": False}
    if engine:
        plain["engine"] = {"slots": 64, "kvCapacity": 640966, "kvBytes": 327680, "linkMbps": 1500000.0, "moves": True,
                           "backups": True, "stride": 7, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0,
                           "models": [{"name": "m"}]}
    return plain


KEY = "caller-key-1"
TENANTS = [{"name": "tenant-1", "apiKeys": [KEY], "priority": 1, "prepaid": 5000000}]


def run(folder, case, routers=1):
    """Runs a case; its exit code is 1 if the rule was broken, 0 if it held and 2 if the case could not run."""
    async def whole():
        site = Site(folder, routers)
        site.trouble = os.environ.get("TROUBLE", "1") != "0"
        site.record.say(f"trouble={int(site.trouble)}")
        try:
            code = await asyncio.wait_for(case(site), 110)
        except Exception as error:
            site.record.say(f"the case could not run: {error!r}")
            code = 2
        finally:
            await site.stop()
        site.record.say(f"exit {code}: " + {0: "the rule held", 1: "the rule was broken", 2: "could not run"}[code])
        return code
    sys.exit(asyncio.run(whole()))
