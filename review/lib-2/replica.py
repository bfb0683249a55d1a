"""Replica as a process of its own: `replica.py PORT ID LOG OPTIONS`, with OPTIONS as JSON.

Each answer has `pieces` pieces, one every `gap` seconds: events of a stream, or lines of a plain body. With
`framed` false, an answer has neither a length nor chunks and ends with its connection. LOG gets a line for each
request that arrives, and for each run that ends. A run goes on after the event that `Last-Event-Id` names.
"""

import asyncio
import json
import sys

from standins import LOOPBACK, read_body, read_head

PORT, ID, LOG = int(sys.argv[1]), sys.argv[2], open(sys.argv[3], "a")
OPTIONS = {"pieces": 40, "gap": 0.1, "framed": True, **json.loads(sys.argv[4])}


def log(text):
    LOG.write(text + "\n")
    LOG.flush()


def piece(path, number):
    if path.startswith("/stream/"):
        return f"id: {number}\ndata: piece {number}\n\n".encode()
    return f"line {number:04}\n".encode()


async def serve(reader, writer):
    try:
        while head := await read_head(reader):
            line, fields = head
            method, path, _ = line.split(" ")
            await read_body(reader, fields)
            request = fields.get("request-id", "-")
            expected = fields.get("expect-instance")
            if expected not in (None, ID):
                writer.write(f"HTTP/1.1 421 Misdirected\r\nRequest-Id: {request}\r\nInstance-Id: {ID}\r\nContent-Length: 0\r\n\r\n".encode())
                continue
            log(f"run {request} {method} {path} by {ID}")
            stream = path.startswith("/stream/")
            kind = "text/event-stream" if stream else "text/plain"
            answer = f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nServer-Stamp: {ID}.{request}\r\nContent-Type: {kind}\r\n"
            answer += "Transfer-Encoding: chunked\r\n\r\n" if OPTIONS["framed"] else "Connection: close\r\n\r\n"
            writer.write(answer.encode())
            first = int(fields.get("last-event-id", "0")) + 1
            for number in range(first, OPTIONS["pieces"] + 1):
                data = piece(path, number)
                writer.write(b"%x\r\n%s\r\n" % (len(data), data) if OPTIONS["framed"] else data)
                await writer.drain()
                await asyncio.sleep(OPTIONS["gap"])
            log(f"end {request} whole by {ID}")
            if not OPTIONS["framed"]:
                return
            writer.write(b"0\r\n\r\n")
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def main():
    server = await asyncio.start_server(serve, LOOPBACK, PORT)
    log(f"start {ID}")
    await server.serve_forever()


asyncio.run(main())
