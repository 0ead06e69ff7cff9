"""Callers that disconnect, are slow or violate HTTP, against complete hosts."""

import json
from unittest import TestCase

from sassafraskeel.core.http import MAX_HEADER_BYTES
from sassafraskeel.emulators.http_server import json_reply
from tests.support.orders import order_id
from tests.test_host import with_world

CHAT = "/w/shop/chat/v1/chat/completions"
ORDER_ID = b"018c1e3a-0000-7000-8000-000000000001"
MESSAGES = [{"role": "user", "content": "hi"}]
GET = b"GET /health HTTP/1.1\r\nhost: a\r\n"
POST = b"POST " + CHAT.encode() + b" HTTP/1.1\r\nhost: a\r\n"
# Requests that two HTTP implementations may frame differently, or of unbounded size.
BROKEN_REQUESTS = {
    "both framings": (
        POST + b"content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        b"400",
    ),
    "two lengths": (POST + b"content-length: 4\r\ncontent-length: 5\r\n\r\n", b"400"),
    "list of lengths": (POST + b"content-length: 4, 5\r\n\r\nabcde", b"400"),
    "signed length": (POST + b"content-length: +4\r\n\r\nabcd", b"400"),
    "unknown coding": (POST + b"transfer-encoding: gzip\r\n\r\n", b"400"),
    "two codings": (
        POST + b"transfer-encoding: chunked\r\ntransfer-encoding: x\r\n\r\n",
        b"400",
    ),
    "coding in HTTP/1.0": (
        POST.replace(b"/1.1", b"/1.0") + b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        b"400",
    ),
    "bare LF": (GET.replace(b"\r\n", b"\n") + b"\n", b"400"),
    "bare LF in a value": (GET + b"x: 1\ny: 2\r\n\r\n", b"400"),
    "bare CR": (GET + b"x: 1\ry: 2\r\n\r\n", b"400"),
    "folded": (GET + b"x: 1\r\n y: 2\r\n\r\n", b"400"),
    "space before colon": (GET + b"content-length : 0\r\n\r\n", b"400"),
    "no host": (b"GET /health HTTP/1.1\r\n\r\n", b"400"),
    "not HTTP": (b"\x16\x03\x01\x02\x00\x01\r\n\r\n", b"400"),
    "bad authority": (b"GET //[ HTTP/1.1\r\nhost: a\r\n\r\n", b"400"),
    "huge header": (GET + b"x: " + b"a" * MAX_HEADER_BYTES, b"413"),
    "endless head": (GET + b"x: 1\r\n" * MAX_HEADER_BYTES, b"413"),
    "huge body": (POST + b"content-length: 4194305\r\n\r\n" + b"a" * 4194305, b"413"),
    "bad chunk": (POST + b"transfer-encoding: chunked\r\n\r\nzz\r\n", b"400"),
}


def post(body: bytes, path: str = CHAT, headers: bytes = b"") -> bytes:
    """Return the bytes of a POST request."""
    length = str(len(body)).encode()
    head = b"POST " + path.encode() + b" HTTP/1.1\r\nhost: a\r\n" + headers
    return head + b"content-length: " + length + b"\r\n\r\n" + body


def chat(tokens: int, stream: bool = False) -> bytes:
    """Return the body of a chat completion request."""
    content = {"messages": MESSAGES, "max_tokens": tokens, "stream": stream}
    return json.dumps(content).encode()


async def dial(world, host):
    """Open a raw connection of a caller."""
    return await world.network.connect(world.hosts[host].callers_address)


async def read_all(world, stream, seconds=30):
    """Return what arrives until the connection closes."""
    data = b""
    async with world.clock.timeout(seconds):
        while part := await stream.read():
            data += part
    return data


class CallerServerTest(TestCase):
    def assert_idle(self, world, why):
        for host in world.hosts:
            self.assertEqual(host.request_tracker.in_flight, 0, why)
            self.assertEqual(host.in_flight("engine-1"), 0, why)
            self.assertEqual(host.in_flight("desk-1"), 0, why)

    @with_world
    async def test_caller_leaves(self, world):
        """Guards against an upstream that keeps working for a caller that left."""
        world.engine._token_delay = world.desk.delay = 100.0
        requests = {
            "model": post(chat(3)),
            "stream": post(chat(3, stream=True)),
            "read": b"GET /w/shop/desk/stock/1 HTTP/1.1\r\nhost: a\r\n\r\n",
        }
        for host in (0, 2):
            for name, data in requests.items():
                stream = await dial(world, host)
                await stream.write(data)
                await world.clock.sleep(1)
                self.assertEqual(world.hosts[host].request_tracker.in_flight, 1, name)
                await stream.close()
                await world.clock.sleep(1)
                self.assert_idle(world, f"{name} at host {host}")

    @with_world
    async def test_caller_leaves_an_order(self, world):
        """Guards against an order whose result is lost with its caller."""
        world.desk.delay = 3.0
        await world.clock.sleep(30)  # The first view refuses order ids from before it.
        for number in range(4):
            key = order_id(world.clock.now(), number).encode()
            header = b"idempotency-key: " + key + b"\r\n"
            stream = await dial(world, 0)
            await stream.write(post(b"{}", "/w/shop/desk/orders", header))
            await world.clock.sleep(1)
            await stream.close()
            await world.clock.sleep(4)
            head, _ = await world.call(
                0, "POST", "/w/shop/desk/orders", ((b"idempotency-key", key),), b"{}"
            )
            self.assertEqual(head.status, 201)
        self.assertEqual(sum(world.desk.ledger.values()), 4)

    @with_world
    async def test_caller_leaves_during_a_stream(self, world):
        """Guards against generating a stream after its caller left."""
        for host in (0, 2):
            stream = await dial(world, host)
            await stream.write(post(chat(100_000, stream=True)))
            await world.clock.sleep(1)
            self.assertIn(b"data: ", await stream.read())
            await stream.close()
            await world.clock.sleep(1)
            self.assert_idle(world, host)
            # Only the engine's accepting task is left; its connections are closed.
            self.assertEqual(len(world.engine._server._group), 1)

    @with_world
    async def test_broken_requests(self, world):
        """Guards against request smuggling and requests of unbounded size."""
        for name, (data, status) in BROKEN_REQUESTS.items():
            stream = await dial(world, 2)
            await stream.write(data)
            answer = await read_all(world, stream)
            self.assertEqual(answer[9:12], status, f"{name}: {answer[:200]}")
            self.assertEqual(
                json.loads(answer.split(b"\r\n\r\n")[-1])["outcome"], "not_run"
            )
        self.assertEqual(world.engine.completed, 0)

    @with_world
    async def test_slow_callers(self, world):
        """Guards against callers that hold connections open by sending slowly."""
        cases = {
            "idle": (b"", 61, b""),
            "head": (GET, 11, b"400"),
            "body": (POST + b"content-length: 9\r\n\r\nabc", 31, b"400"),
        }
        for name, (data, seconds, status) in cases.items():
            stream = await dial(world, 2)
            if data:
                await stream.write(data)
            answer = await read_all(world, stream, seconds + 1)
            self.assertEqual(answer[9:12], status, name)

    @with_world
    async def test_too_many_connections(self, world):
        """Guards against callers that use up all connections of a host."""
        streams = []
        for _ in range(2260):
            streams.append(await dial(world, 2))
            await streams[-1].write(b"G")
        await world.clock.sleep(0.5)
        answer = await read_all(world, streams[2000])
        self.assertIn(b" 429 ", answer)
        self.assertIn(b"retry-after: 1", answer)
        self.assertEqual(await read_all(world, streams[2259]), b"")
        for stream in streams:
            await stream.close()
        await world.clock.sleep(0.5)
        self.assertEqual((await world.call(2, "GET", "/health"))[0].status, 200)

    @with_world
    async def test_silent_connections(self, world):
        """Guards against connections that send nothing and keep all others out."""
        streams = [await dial(world, 2) for _ in range(2000)]
        await world.clock.sleep(0.5)
        self.assertEqual((await world.call(2, "GET", "/health"))[0].status, 200)
        self.assertEqual(await read_all(world, streams[0]), b"")
        for stream in streams:
            await stream.close()

    @with_world
    async def test_pipelined_requests(self, world):
        """Guards against answers that are lost or swapped on one connection."""
        stream = await dial(world, 0)
        tail = GET + b"connection: close\r\n\r\n"
        await stream.write(post(chat(2)) + GET + b"\r\n" + post(chat(3)))
        await world.clock.sleep(0.05)
        await stream.write(tail)
        answer = await read_all(world, stream)
        bodies = [part.split(b"\r\n\r\n")[1] for part in answer.split(b"HTTP/1.1 ")[1:]]
        self.assertEqual(len(bodies), 4)
        counts = [
            len(json.loads(body)["choices"][0]["message"]["content"].split())
            for body in (bodies[0], bodies[2])
        ]
        self.assertEqual(counts, [2, 3])
        self.assertEqual(bodies[1], bodies[3])

    @with_world
    async def test_expect_continue(self, world):
        """Guards against requesting a body that the host is not allowed to receive."""
        for path, expected in ((CHAT, b"100"), ("/w/local/chat/v1/x", b"421")):
            stream = await dial(world, 0)
            data = post(chat(1), path, b"expect: 100-continue\r\nconnection: close\r\n")
            head, body = data.split(b"\r\n\r\n")
            await stream.write(head + b"\r\n\r\n")
            self.assertEqual((await stream.read())[9:12], expected)
            if expected == b"100":
                await stream.write(body)
                self.assertIn(b"HTTP/1.1 200", await read_all(world, stream))

    @with_world
    async def test_large_and_deep_bodies(self, world):
        """Guards against bodies that the gateway parses or cannot forward."""
        seen = []

        async def handle(request):
            if request.method == "POST":  # Load reports are polled by GET.
                seen.append(len(request.body))
            return json_reply({})

        world.engine._server._handler = handle
        for body in (b"[" * 300_000, b"a" * 4_000_000):
            head, _ = await world.call(0, "POST", CHAT, body=body)
            self.assertEqual(head.status, 200)
        self.assertEqual(seen, [300_000, 4_000_000])

    @with_world
    async def test_internal_errors(self, world):
        """Guards against reporting an internal error after dispatch as not run."""
        dispatcher = world.hosts[2].dispatcher

        async def run(call, body):
            raise KeyError("a fault after dispatch")

        def check(call):
            raise KeyError("a fault before dispatch")

        for name, function, host, outcome in (
            ("run", run, 2, "unknown"),
            ("run", run, 0, "unknown"),
            ("check", check, 2, "not_run"),
        ):
            setattr(dispatcher, name, function)
            head, data = await world.call(host, "POST", CHAT, body=chat(1))
            refusal = json.loads(data)
            self.assertEqual((head.status, refusal["reason"]), (500, "internal"))
            self.assertEqual(refusal["outcome"], outcome)
            self.assertNotIn("fault", refusal["detail"])
            delattr(dispatcher, name)

    @with_world
    async def test_served_by(self, world):
        """Guards against reporting the wrong serving domain to callers."""

        async def handle(request):
            reply = await world.engine.handle(request)
            return reply._replace(headers=(*reply.headers, (b"x-served-by", b"mars")))

        world.engine._server._handler = handle
        forged = b"x-served-by: mars\r\nx-call-id: forged\r\nconnection: close\r\n"
        for host, path, body, domain in (
            (0, CHAT, chat(1), b"south-a"),
            (2, CHAT, chat(1), b"south-a"),
            (0, "/w/shop/desk/stock/1", b"", b"north-a"),
        ):
            data = (
                post(body, path, forged)
                if body
                else GET.replace(b"/health", path.encode()) + forged + b"\r\n"
            )
            stream = await dial(world, host)
            await stream.write(data)
            answer = await read_all(world, stream)
            self.assertEqual(answer.count(b"x-served-by: " + domain), 1)
            self.assertNotIn(b"mars", answer)
            self.assertNotIn(b"forged", answer)
