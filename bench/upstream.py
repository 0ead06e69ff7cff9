"""An upstream with fixed answers, written to use little processor time."""

import sys

import curio

from sassafraskeel.core.clock import SystemClock
from sassafraskeel.core.errors import ConnectionLost
from sassafraskeel.core.log import NullLog
from sassafraskeel.core.net import TcpNetwork, parse_address
from sassafraskeel.core.turns import TurnTimer

JSON_BODY = b'{"choices": [{"message": {"content": "' + b"word " * 40 + b'"}}]}'
EVENT = 'data: {"choices": [{"delta": {"content": "deadbeef"}}], "token_index": %d}\n\n'
END_EVENT = b"data: [DONE]\n\n"
EVENTS_IN_STREAM = 256


LOAD_BODY = b'{"running": 0, "queued": 0, "slots": 256}'


def json_answer(body: bytes = JSON_BODY) -> bytes:
    """Return an HTTP response with a JSON body."""
    head = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: "
    return head + str(len(body)).encode() + b"\r\n\r\n" + body


def chunk(data: bytes) -> bytes:
    """Return data encoded as one chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def serve(stream, events_per_write: int) -> None:
    """Answer requests; those with "stream" in the body get server-sent events."""
    buffer = b""
    while data := await stream.read():
        buffer += data
        head, separator, body = buffer.partition(b"\r\n\r\n")
        if not separator:
            continue
        if head.startswith(b"GET /load"):
            await stream.write(json_answer(LOAD_BODY))
            buffer = b""
            continue
        length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
        if len(body) < length:
            continue
        buffer = body[length:]
        if b'"stream"' in body[:length]:
            await write_stream(stream, events_per_write)
        else:
            await stream.write(json_answer())


async def write_stream(stream, events_per_write: int) -> None:
    """Write a stream of server-sent events, `events_per_write` at a time."""
    await stream.write(
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
        b"transfer-encoding: chunked\r\n\r\n"
    )
    chunks = [chunk((EVENT % index).encode()) for index in range(EVENTS_IN_STREAM)]
    for first in range(0, EVENTS_IN_STREAM, events_per_write):
        await stream.write(b"".join(chunks[first : first + events_per_write]))
        await curio.sleep(0)
    await stream.write(chunk(END_EVENT) + b"0\r\n\r\n")


async def main(turns: TurnTimer, listen: str, events_per_write: str) -> None:
    """Serve connections until the process is ended."""
    listener = await TcpNetwork(turns=turns).listen(parse_address(listen))

    async def handle(stream):
        try:
            await serve(stream, int(events_per_write))
        except ConnectionLost:
            pass  # The client closed its connection.
        finally:
            await stream.close()

    while True:
        await curio.spawn(handle, await listener.accept(), daemon=True)


if __name__ == "__main__":
    turns = TurnTimer(SystemClock(), NullLog())
    curio.run(main, turns, *sys.argv[1:], activations=[turns])
