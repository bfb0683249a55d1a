"""A second copy of a refusal, which arrives in the place of the next answer, lets a request run twice."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from standins import (  # noqa: E402
    Client, Daemon, Replica, Store, answer, configuration, read_body, read_head, route, run_case)

# Doses of the two disruptions: the share of the answers, and seconds. Both strike once in each period.
SHED_X, SHED_S = 0.45, 6.5
EXTRA_X, EXTRA_S = 0.03, 5.0
PERIOD_S = 9.0
PERIODS = 5
SETTLE_S = 5.0
WORK_S = 0.03
REPLICAS = 8
CLIENTS = 8
CHANCE = random.Random(1)


class Faulty(Replica):
    """A replica that refuses a part of its requests, and now and then sends an answer once more, late."""

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

    async def answer(self, request, writer):
        identity = request[2].get("request-id")
        copy = self.late.pop(writer, None)
        if copy is not None:
            self.record.write(f"{self.identity} sends its last answer on this connection once more, in the place of that to {identity}")
            writer.write(copy)
            await writer.drain()
        await asyncio.sleep(WORK_S)
        body = f"{self.identity} has printed the label of {identity}".encode()
        self.takes_extra()
        writer.write(answer(200, body, self.stamp(request[2])))

    def refuses(self, writer):
        """Whether the next request on this connection is refused, as by a replica that is full."""
        return self.is_in(SHED_S) and writer not in self.late and CHANCE.random() < SHED_X

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await read_body(reader, headers)
                identity = headers.get("request-id")
                if headers.get("expect-instance") not in (None, self.identity):
                    writer.write(answer(421, headers=[("Instance-Id", self.identity)]))
                elif identity is None:
                    writer.write(answer(200, headers=[("Instance-Id", self.identity)]))
                elif self.refuses(writer):
                    refusal = answer(503, headers=[("Not-Executed", "1")])
                    self.record.write(f"{self.identity} refuses {identity}: 503, Not-Executed")
                    writer.write(refusal)
                    if self.takes_extra():
                        self.allowed -= 1.0
                        self.late[writer] = refusal
                else:
                    self.runs[identity] = self.runs.get(identity, 0) + 1
                    self.record.write(f"{self.identity} runs {identity}")
                    await self.answer((line, None, headers, body), writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.late.pop(writer, None)
            writer.close()


async def normal(replica, request, writer):
    await asyncio.sleep(WORK_S)
    identity = request[2].get("request-id")
    writer.write(answer(200, f"{replica.identity} has printed the label of {identity}".encode(), replica.stamp(request[2])))


async def send_all(record, port, number, statuses):
    client, end = Client(record, port), record.now() + PERIOD_S * PERIODS
    count = 0
    while record.now() < end:
        if client.writer is None:
            await client.open()
        count += 1
        identity = f"label-{number}-{count:04}"
        result = await client.send("POST", "/label-get/1", identity, b"panel 7", deadline_ms=1500)
        statuses[identity] = result[0] if result else None
        record.write(f"client {number} gets {statuses[identity]} to {identity}")
        if result is None or result[1].get("connection", "").lower() == "close":
            client.close()
            client.writer = None
        await asyncio.sleep(0.02)


async def case(record, work, trouble, daemons):
    store = Store()
    port = await store.listen()
    extra_x = EXTRA_X if trouble else 0.0
    replicas = [Faulty(record, "i-1", "pack-api", None, (), 6, extra_x=extra_x)]
    replicas += [Replica(record, f"i-{n}", "pack-api", normal, (), 6) for n in range(2, REPLICAS + 1)]
    await store.put("op/config", configuration(
        7, [route("label-get", "non_idempotent", "pack-api", timeout_ms=800, target_latency_ms=150, priority=2)],
        [{"name": "pack-api", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": False}]))
    for replica in replicas:
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
    record.write(f"ran more than once: {twice}")
    record.write(f"refused with 408, 421, 429 or 503 though they ran: {refused}")
    return not twice


run_case(HERE, case)
