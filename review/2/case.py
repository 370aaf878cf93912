"""A runner's failure that is truncated: the router holds the request past its route's timeout."""

import asyncio
import functools
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))
import site_kit as kit

# One of seven runners is faulty for 7.5 s, and fails every second request that it gets; then another one, three in all.
ROUTERS, RUNNERS, REQUESTS, INTERVAL = 6, 7, 1000, 0.023
FAULTY, TIMES = 7.5, 3
# The route's timeoutMs and the client's own time limit.
TIMEOUT, PATIENCE = 4.0, 8.0


async def case(site):
    say = site.record.say

    got = [0] * RUNNERS
    loop = asyncio.get_running_loop()
    faulty_from = [loop.time() + 1e9]

    async def runner(number, reader, writer):
        try:
            while True:
                method, path, headers, _ = await kit.read_request(reader)
                name = headers.get("request-id", "")
                say(f"runner {number}: runs {name} {method} {path}")
                await asyncio.sleep(0.015)
                body = b"x" * 800
                got[number] += 1
                window = (loop.time() - faulty_from[0]) // FAULTY
                bad = number == window and number < TIMES and got[number] % 2 == 0
                status = "500 Internal Server Error" if bad else "200 OK"
                head = f"HTTP/1.1 {status}\r\nRequest-Id: {name}\r\nResponse-Seal: s.{name}\r\nContent-Length: 800\r\n\r\n"
                if bad and site.trouble:
                    writer.write(head.encode() + body[:400])
                    await writer.drain()
                    say(f"runner {number}: answers {name} with 500, of which half the body is sent; the channel stays open")
                    await reader.read(1)
                    return
                writer.write(head.encode() + body)
                await writer.drain()
                say(f"runner {number}: answers {name} with {status[:3]}, whole")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    for number in range(RUNNERS):
        await site.add_runner("loan-core", functools.partial(runner, number), slots=6)
    routes = [kit.route("status", "idempotent", "loan-core")]
    if not await site.start(kit.config(routes, [kit.service("loan-core")], kit.TENANTS)):
        say("the routers did not become ready")
        return 2

    async def one(number):
        name = f"{number:016x}"
        headers = {"Request-Id": name, "Deadline-Ms": int(PATIENCE * 1000), "Authorization": f"Bearer {kit.KEY}"}
        say(f"client: sends {name}, Deadline-Ms {int(PATIENCE * 1000)}, timeoutMs {int(TIMEOUT * 1000)}")
        answer = await kit.ask(site.routers[number % ROUTERS].front, "GET", "/status/a", headers, limit=PATIENCE)
        say(f"client: {name} ended, {answer}")
        return answer

    faulty_from[0] = loop.time()
    asked = []
    for number in range(REQUESTS):
        asked.append(asyncio.create_task(one(number)))
        await asyncio.sleep(INTERVAL)
    answers = await asyncio.gather(*asked)
    last = [a for a in answers if a.took > TIMEOUT]
    held = [a for a in last if not a.complete or a.took > TIMEOUT + 0.5]
    say(f"of {len(answers)} requests {len(last)} lasted longer than timeoutMs; {len(held)} of these had no final answer 0.5 s after it")
    return 1 if len(held) >= 8 and len(held) * 4 > len(last) else 0

kit.run(FOLDER, case, routers=ROUTERS)
