"""A replica of the platform as a process, for scripts of the second review.

Each line of its output is a JSON object that says what it began to run, or ended.
"""

import argparse
import json
import os
import select
import socket
import sys
import threading
import time
import urllib.error
import urllib.request

OUTPUT_LOCK = threading.Lock()
JUNK_BYTES = 1 << 20
# The part of a prompt that crashes a replica which begins to answer it.
DEADLY_PART = "dead0001"


def report(**fields) -> None:
    """Write a line of output."""
    with OUTPUT_LOCK:
        sys.stdout.write(json.dumps(fields) + "\n")
        sys.stdout.flush()


class Replica:
    """Serves requests, one at a time on a connection, and writes its store entry."""

    def __init__(self, cfg):
        self.cfg = cfg
        self.running = 0
        self.lock = threading.Lock()
        self.sequence = 0

    def beat(self) -> None:
        """Write the entry of the store about every heartbeat."""
        time.sleep(self.cfg.first_beat)
        while True:
            self.sequence += 1
            entry = {
                "service": self.cfg.service,
                "address": f"127.0.0.1:{self.cfg.port}",
                "zone": self.cfg.zone,
                "version": self.cfg.version,
                "slots": self.cfg.slots,
                "state": "ready",
                "coldRemainingMs": 0,
                "seqNo": self.sequence,
                "born": self.cfg.born,
            }
            request = urllib.request.Request(
                f"http://{self.cfg.store}/standin/key?key=servers/{self.cfg.name}",
                data=json.dumps(entry).encode(),
                method="PUT",
            )
            try:
                with urllib.request.urlopen(request, timeout=1.0):
                    pass
                if self.sequence == 1:
                    report(event="listed", replica=self.cfg.name, born=self.cfg.born)
            except (OSError, urllib.error.URLError):
                pass  # The store does not answer; the next beat tries again.
            time.sleep(self.cfg.heartbeat)

    def serve(self) -> None:
        """Accept connections; never returns."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self.cfg.port))
        listener.listen(256)
        report(event="start", replica=self.cfg.name, version=self.cfg.version)
        threading.Thread(target=self.beat, daemon=True).start()
        while True:
            conn, _ = listener.accept()
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve_connection, args=(conn,)).start()

    def serve_connection(self, conn) -> None:
        """Serve the requests on a connection."""
        stream = conn.makefile("rb")
        try:
            while self.serve_request(conn, stream):
                pass
        except (OSError, ValueError):
            pass  # The gateway has closed the connection.
        finally:
            stream.close()
            conn.close()

    def serve_request(self, conn, stream) -> bool:
        """Serve one request; return whether the connection goes on."""
        words = stream.readline().split()
        if len(words) != 3:
            return False
        headers = {}
        while (line := stream.readline().strip()) != b"":
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        stream.read(int(headers.get("content-length", 0)))
        path = words[1].decode()
        request_id = headers.get("x-sassafraskeel-request-id", "")
        if path == "/healthz":
            name = f"X-Sassafraskeel-Instance-Id: {self.cfg.name}"
            return self.answer(conn, 200, [name], b"")
        echo = f"X-Sassafraskeel-Request-Id: {request_id}"
        if headers.get("x-sassafraskeel-expect-instance") not in (None, self.cfg.name):
            return self.answer(conn, 421, [echo], b"")
        report(
            event="run",
            replica=self.cfg.name,
            version=self.cfg.version,
            id=request_id,
            path=path,
            after=headers.get("last-event-id", ""),
        )
        with self.lock:
            self.running += 1
        try:
            is_stream = path.startswith(("/chat/", "/draft/"))
            if is_stream:
                return self.stream(conn, request_id, echo, headers)
            return self.plain(conn, request_id, echo)
        finally:
            with self.lock:
                self.running -= 1

    def head(self, status: int, lines: list[str]) -> bytes:
        """Return the head of an answer."""
        load = f"{self.running},0,{self.cfg.slots}"
        stamp = f"{self.cfg.name}.{self.cfg.born}"
        lines = [
            *lines,
            f"X-Sassafraskeel-Response-Stamp: {stamp}",
            f"X-Sassafraskeel-Server-Load: {load}",
        ]
        text = "".join(f"{line}\r\n" for line in lines)
        return f"HTTP/1.1 {status} X\r\n{text}\r\n".encode()

    def answer(self, conn, status, lines, body) -> bool:
        """Send an answer with its length."""
        lines = [*lines, f"Content-Length: {len(body)}"]
        conn.sendall(self.head(status, lines) + body)
        return True

    def plain(self, conn, request_id, echo) -> bool:
        """Send a plain answer, in pieces if it is unframed."""
        pieces = [
            f"{request_id} piece {number} of {self.cfg.pieces}\n".encode()
            for number in range(1, self.cfg.pieces + 1)
        ]
        if not self.cfg.unframed:
            time.sleep(self.cfg.gap * self.cfg.pieces)
            return self.answer(conn, 200, [echo], b"".join(pieces))
        conn.sendall(self.head(200, [echo, "Connection: close"]))
        return self.send_pieces(conn, request_id, pieces)

    def stream(self, conn, request_id, echo, headers) -> bool:
        """Send a stream of events, after the last one that the caller has."""
        parts = headers.get("x-sassafraskeel-prompt-prefix", "").split(",")[:-1]
        deadly = DEADLY_PART in [part.partition(":")[0].strip() for part in parts]
        begin = int(headers.get("last-event-id") or 0) + 1
        writer = f"{self.cfg.service} {self.cfg.version} {self.cfg.name}"
        pieces = [
            f"id: {number}\ndata: {writer} {number}\n\n".encode()
            for number in range(begin, self.cfg.pieces + 1)
        ]
        lines = [echo, "Content-Type: text/event-stream"]
        if self.cfg.unframed:
            conn.sendall(self.head(200, [*lines, "Connection: close"]))
            return self.send_pieces(conn, request_id, pieces)
        conn.sendall(self.head(200, [*lines, "Transfer-Encoding: chunked"]))
        if self.cfg.junk:
            return self.send_junk(conn, request_id)
        chunks = [f"{len(p):x}\r\n".encode() + p + b"\r\n" for p in pieces]
        if deadly:
            self.crash(conn, request_id, chunks)
        self.send_pieces(conn, request_id, chunks)
        conn.sendall(b"0\r\n\r\n")
        return True

    def crash(self, conn, request_id, chunks) -> None:
        """Begin a stream, and crash some seconds after its first event."""
        report(event="deadly", replica=self.cfg.name, id=request_id)
        count = 1 + round(self.cfg.deadly_after / self.cfg.gap)
        self.send_pieces(conn, request_id, chunks[:count])
        report(event="crash", replica=self.cfg.name, id=request_id)
        os._exit(1)

    def send_junk(self, conn, request_id) -> bool:
        """Send bytes that are no answer until the gateway closes the connection."""
        junk = os.urandom(JUNK_BYTES)
        chunk = f"{len(junk):x}\r\n".encode() + junk + b"\r\n"
        started_at = time.monotonic()
        try:
            while True:
                conn.sendall(chunk)
        finally:
            seconds = round(time.monotonic() - started_at, 3)
            report(
                event="closed", replica=self.cfg.name, id=request_id, seconds=seconds
            )

    def send_pieces(self, conn, request_id, pieces) -> bool:
        """Send pieces with a pause before each; stop when the gateway has left."""
        for number, piece in enumerate(pieces, 1):
            if select.select([conn], [], [], self.cfg.gap)[0]:
                report(event="left", replica=self.cfg.name, id=request_id)
                raise ConnectionResetError
            conn.sendall(piece)
            report(event="piece", replica=self.cfg.name, id=request_id, number=number)
        report(event="end", replica=self.cfg.name, id=request_id)
        return False


def parse() -> argparse.Namespace:
    """Return the options of the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--store", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--version", default="v1")
    parser.add_argument("--born", type=int, required=True)
    parser.add_argument("--slots", type=int, default=64)
    parser.add_argument("--pieces", type=int, default=20)
    parser.add_argument("--gap", type=float, default=0.1)
    parser.add_argument("--unframed", type=int, default=0)
    parser.add_argument("--deadly-after", type=float, default=0.0)
    parser.add_argument("--junk", type=int, default=0)
    parser.add_argument("--heartbeat", type=float, default=1.2)
    parser.add_argument("--first-beat", type=float, default=0.0)
    return parser.parse_args()


if __name__ == "__main__":
    Replica(parse()).serve()
