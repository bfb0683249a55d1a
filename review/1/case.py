"""A second copy of a refusal, which arrives in the place of the next answer, lets a request run twice."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from standins import (  # noqa: E402
    Client, Daemon, Replica, Store, answer, configuration, engine, json_answer, route, run_case)

# Doses of the two disruptions: the share of the answers, and seconds. Both strike once in each period.
SHED_X, SHED_S = 0.45, 6.5
EXTRA_X, EXTRA_S = 0.03, 5.0
PERIOD_S = 9.0
PERIODS = 6
SETTLE_S = 5.0
# One of the replicas is faulty. Each holds a model of its own.
REPLICAS = 8
CLIENTS = 16
PAUSE_S = 0.05
EVENTS, EVENT_S = 3, 0.02
CHANCE = random.Random(1)


class Faulty(Replica):
    """A replica that refuses a part of its requests, and now and then sends a refusal once more, late."""

    def __init__(self, *arguments, extra_x):
        super().__init__(*arguments)
        self.extra_x = extra_x
        # Extra answers that the dose still allows.
        self.allowed = 0.0
        # Copies of refusals that are still to come, by connection.
        self.late = {}
        self.began_at = None

    def is_in(self, seconds):
        """Whether a disruption that lasts for the first `seconds` of each period is on."""
        return self.began_at is not None and (self.record.now() - self.began_at) % PERIOD_S < seconds

    def takes_extra(self):
        """Counts an answer, and says whether the dose allows to send it once more."""
        if not self.is_in(EXTRA_S):
            return False
        self.allowed += self.extra_x
        return self.allowed >= 1.0

    async def respond(self, request, writer):
        headers = request[2]
        identity = headers["request-id"]
        if self.is_in(SHED_S) and writer not in self.late and CHANCE.random() < SHED_X:
            refusal = answer(503, headers=[("Request-Id", identity), ("Not-Executed", "1")])
            self.record.write(f"{self.identity} refuses {identity}: 503 with Not-Executed and its Request-Id")
            writer.write(refusal)
            if self.takes_extra():
                self.allowed -= 1.0
                self.late[writer] = refusal, identity
            return
        copy = self.late.pop(writer, None)
        if copy is not None:
            self.record.write(f"{self.identity} sends the refusal of {copy[1]} once more, in the place of the answer to {identity}")
            writer.write(copy[0])
        self.takes_extra()
        await super().respond(request, writer)


async def stream(replica, request, writer):
    """Sends some events; the request runs from here on."""
    head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
    head += [f"{name}: {value}" for name, value in replica.stamp(request[2])]
    writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
    for number in range(1, EVENTS + 1):
        await asyncio.sleep(EVENT_S)
        event = f"id: {number}\ndata: piece {number}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
    writer.write(b"0\r\n\r\n")


async def send_all(record, port, number, statuses):
    client, end = Client(record, port), record.now() + PERIOD_S * PERIODS
    count = 0
    while record.now() < end:
        if client.writer is None:
            await client.open()
        count += 1
        model = f"model-{(number + count) % REPLICAS + 1}"
        identity = f"spot-{number:02}-{count:04}"
        headers = [("Model", model), ("Token-Usage", "64,6"), ("Prompt-Prefix", f"5c1e07a2:32,{number:x}{count:04x}:32")]
        result = await client.send("POST", "/spot-check/1", identity, b"photo", headers=headers, deadline_ms=10000)
        statuses[identity] = result[0] if result else None
        record.write(f"client {number:02} gets {statuses[identity]} to {identity} ({model})")
        if result is None or result[1].get("connection", "").lower() == "close":
            client.close()
            client.writer = None
        await asyncio.sleep(PAUSE_S)


async def case(record, work, trouble, daemons):
    store = Store()
    port = await store.listen()
    models = [f"model-{n}" for n in range(1, REPLICAS + 1)]
    extra_x = EXTRA_X if trouble else 0.0
    replicas = [Faulty(record, "i-1", "vision-llm", stream, models[:1], extra_x=extra_x)]
    replicas += [Replica(record, f"i-{n}", "vision-llm", stream, [models[n - 1]]) for n in range(2, REPLICAS + 1)]
    await store.put("op/config", configuration(
        7, [route("spot-check", "stream", "vision-llm", timeout_ms=10000, target_latency_ms=800, priority=0,
                  sticky=True, resumable=False, target_gap_ms=300)],
        # A replica has room for one model.
        [{"name": "vision-llm", "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": False,
          "engine": engine(models, mb=70000.0)}]))
    for replica in replicas:
        replica.store = store
        await replica.listen()
        await store.put(f"servers/{replica.identity}", replica.entry())
    daemons.append(Daemon(work, "front-hall-a-1", port))
    daemons[0].start()
    if not await daemons[0].until_ready():
        record.write("the daemon is not ready")
        return None
    await asyncio.sleep(SETTLE_S)
    statuses = {}
    replicas[0].began_at = record.now()
    await asyncio.gather(*(send_all(record, daemons[0].front, n, statuses) for n in range(CLIENTS)))
    await asyncio.sleep(0.5)
    runs = {i: sum(r.runs.get(i, 0) for r in replicas) for i in statuses}
    twice = [i for i, count in runs.items() if count > 1]
    refused = [i for i, count in runs.items() if count > 0 and statuses[i] in (408, 421, 429, 503)]
    record.write(f"{len(statuses)} requests, statuses { {s: list(statuses.values()).count(s) for s in set(statuses.values())} }")
    record.write(f"refused with 408, 421, 429 or 503 though they ran: {refused}")
    record.write(f"ran more than once: {twice}")
    return not twice


run_case(HERE, case)
