"""Requests that ask for an answer without a limit: the router's process ends, with all that others had in progress."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))
import site_kit as kit

# How many requests one client sends at the same time, and how many other clients have a call in progress.
PARALLEL, BYSTANDERS = 8, 6
# The largest signed 64-bit number, as clients send it that set no limit; 4,096 without the trouble.
UNLIMITED, USUAL = 2**63 - 1, 4096
SMALL_KEY = "caller-key-2"
TENANTS = kit.TENANTS + [{"name": "tenant-2", "apiKeys": [SMALL_KEY], "priority": 2, "prepaid": 200000}]


async def case(site):
    say = site.record.say

    async def plain(reader, writer):
        try:
            while True:
                method, path, headers, _ = await kit.read_request(reader)
                name = headers.get("request-id", "")
                say(f"runner: runs {name} {method} {path}")
                await asyncio.sleep(1.5 if path.endswith("/slow") else 0.015)
                head = f"HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\nResponse-Seal: s.{name}\r\nContent-Length: 800\r\n\r\n"
                writer.write(head.encode() + b"x" * 800)
                await writer.drain()
                say(f"runner: answers {name} whole")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def engine(reader, writer):
        try:
            while True:
                _, path, headers, _ = await kit.read_request(reader)
                name = headers.get("request-id", "")
                say(f"engine: runs {name} {path} token-counts={headers.get('token-counts')}")
                writer.write((f"HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\nResponse-Seal: s.{name}\r\n"
                              "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
                for number in range(1, 6):
                    event = f"id: {number}\ndata: x\n\n".encode()
                    writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                    await writer.drain()
                    await asyncio.sleep(0.02)
                writer.write(b"0\r\n\r\n")
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    for _ in range(3):
        await site.add_runner("loan-core", plain)
    for _ in range(3):
        await site.add_runner("jr-models", engine)
    routes = [kit.route("record", "non_idempotent", "loan-core", maxAttempts=1),
              kit.route("chat", "streaming", "jr-models", maxAttempts=1, sticky=True, resumable=False, gapTargetMs=250,
                        timeoutMs=10000)]
    services = [kit.service("loan-core"), kit.service("jr-models", engine=True)]
    if not await site.start(kit.config(routes, services, TENANTS)):
        say("the routers did not become ready")
        return 2

    numbers = iter(range(1, 1000))

    async def bystander(router, keep):
        name = f"{next(numbers):016x}"
        headers = {"Request-Id": name, "Deadline-Ms": 4000, "Authorization": f"Bearer {kit.KEY}"}
        path = "/record/slow" if keep[0] else "/record/quick"
        keep[0] += 1
        say(f"client: sends {name} to {router.name} {path}, on a kept channel: {keep[0] > 1}")
        answer = await kit.ask(router.front, "POST", path, headers, b"{}", limit=4, keep=keep[1])
        say(f"client: {name} at {router.name} ended, {answer}")
        return answer

    async def unlimited(router):
        name = f"{next(numbers):016x}"
        most = UNLIMITED if site.trouble else USUAL
        headers = {"Request-Id": name, "Deadline-Ms": 10000, "Authorization": f"Bearer {SMALL_KEY}", "Model": "m",
                   "Token-Counts": f"100,{most}", "Prompt-Prefix": "5c1e07a2:80,91bd3f06:20"}
        say(f"client: sends {name} to {router.name} /chat/, Token-Counts 100,{most}")
        answer = await kit.ask(router.front, "POST", "/chat/a", headers, b"{}", limit=10)
        say(f"client: {name} at {router.name} ended, {answer}")

    lost = ended = 0
    for router in site.routers:
        host, port = router.front.rsplit(":", 1)
        kept = [[0, await asyncio.open_connection(host, int(port))] for _ in range(BYSTANDERS)]
        await asyncio.gather(*[bystander(router, keep) for keep in kept])
        calls = [asyncio.create_task(bystander(router, keep)) for keep in kept]
        await asyncio.sleep(0.3)
        await asyncio.gather(*[unlimited(router) for _ in range(PARALLEL)])
        answers = await asyncio.gather(*calls)
        lost += sum(1 for answer in answers if answer.end.startswith("channel"))
        for keep in kept:
            keep[1][1].close()
        await asyncio.sleep(0.5)
        code = router.process.returncode
        if code is not None:
            ended += 1
            say(f"{router.name} ended by itself with code {code}")
            for line in router.logged().splitlines():
                if "panicked at" in line or "fits" in line:
                    say(f"{router.name} wrote: {line.strip()}")
    say(f"{ended} of {len(site.routers)} routers ended by themselves; {lost} requests on kept channels, passed on to a sound "
        "runner, had their channel closed without an answer; three are allowed")
    return 1 if lost > 3 else 0

kit.run(FOLDER, case, routers=3)
