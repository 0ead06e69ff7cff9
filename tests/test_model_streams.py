"""Tests of model streams that are truncated at any byte by any replica."""

from unittest import TestCase

import curio
from hypothesis import given, settings, strategies as st

from sassafraskeel.calls.model_streams import (
    ModelStream,
    ResumingHostClient,
    ResumingUpstreamClient,
)
from sassafraskeel.core.clock import SystemClock
from sassafraskeel.core.errors import AnswerTruncated
from sassafraskeel.core.log import NullLog
from sassafraskeel.core.types import CallKind, HostInfo, ResponseHead
from sassafraskeel.emulators.faults import AnswerFault
from tests.support.clock import run_virtual
from tests.support.upstreams import (
    ANY_PORT,
    UpstreamFixture,
    answer_or_error,
    chat,
    with_upstreams,
)

TOKENS = 6


def resuming_client(fixture):
    return ResumingUpstreamClient(
        fixture.client,
        fixture.clock,
        NullLog(),
        lambda: fixture.sheet,
        "a",
        lambda *_: "",
    )


async def read_stream(fixture, body, number=0):
    """Return the bytes that a caller receives and the final error, or None."""
    call = fixture.call(CallKind.MODEL, number=number)
    answer = await resuming_client(fixture).send(
        fixture.upstream("engine-0"), call, body
    )
    data = b""
    try:
        while part := await answer.read():
            data += part
        return data, None
    except AnswerTruncated as exc:
        return data, exc
    finally:
        await answer.close()


class TruncatedAnswer:
    """An answer that returns the given parts and is then truncated."""

    def __init__(self, *parts):
        self.head = ResponseHead(200, ())
        self.parts = list(parts)

    async def read(self):
        if not self.parts:
            raise AnswerTruncated("cut")
        return self.parts.pop(0)

    async def close(self):
        self.parts.clear()


class ModelStreamTest(TestCase):
    def test_tokens_without_indexes(self):
        """Guards against a clean end of a truncated stream without token indexes."""
        token = b'data: {"choices": [{"delta": {"content": "word"}}]}\n\n'
        indexed = token.replace(b'"choices"', b'"token_index": 0, "choices"')
        done = b"data: [DONE]\n\n"
        for first, second in (
            (TruncatedAnswer(token), TruncatedAnswer(token, done, b"")),
            (TruncatedAnswer(indexed), TruncatedAnswer(token, done, b"")),
        ):

            async def read(first=first, second=second):
                async def resume(number):
                    return second

                stream = ModelStream(first, SystemClock(), resume)
                data = b""
                while part := await stream.read():
                    data += part
                return data

            with self.subTest(first=first.parts), self.assertRaises(AnswerTruncated):
                curio.run(read)

    @settings(max_examples=60)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(("cut_after", "stall_after")), st.integers(0, 999)
            ),
            max_size=4,
        ),
    )
    def test_resumed_stream_equals_unbroken_one(self, breaks):
        """Guards against lost, doubled or spliced tokens after a break."""

        async def main(clock):
            fixture = UpstreamFixture(clock, engines=3)
            await fixture.start()
            try:
                body = chat("hi", TOKENS)
                whole, _ = await read_stream(fixture, body)
                # The head has more than 100 bytes, so that streams have begun.
                for engine, (kind, position) in zip(
                    fixture.engines, breaks, strict=False
                ):
                    fault = AnswerFault(**{kind: 200 + position})
                    engine.faults.answers.append(fault)
                data, error = await read_stream(fixture, body, 1)
                if error is None:
                    self.assertEqual(data, whole)
                else:
                    self.assertGreaterEqual(len(breaks), 3)
                    events = data.split(b"\n\n")
                    self.assertTrue(events[-2].startswith(b"event: error"))
                    self.assertTrue(whole.startswith(b"\n\n".join(events[:-2])))
                self.assertEqual(
                    [engine.running for engine in fixture.engines], [0] * 3
                )
            finally:
                await fixture.close()

        run_virtual(main)

    @with_upstreams(engines=3)
    async def test_missing_end_and_wrong_tokens(self, fixture):
        """Guards against a stream accepted without [DONE] or with a wrong token."""
        body = chat("hi", TOKENS)
        complete_answer, _ = await read_stream(fixture, body)
        stream = fixture.engines[0]._stream

        def without(count, marker):
            async def faulty(tokens, attempt):
                async for event in stream(tokens, attempt):
                    if marker not in event:
                        yield event
                    for _ in range(count):
                        yield event

            return faulty

        for count, marker in ((0, b"[DONE]"), (0, b'"token_index": 3'), (1, b"}")):
            fixture.engines[0]._stream = without(count, marker)
            self.assertEqual(await read_stream(fixture, body), (complete_answer, None))

    @with_upstreams(engines=2)
    async def test_lost_host(self, fixture):
        """Guards against a forwarded stream that is truncated when its host is lost."""

        class Hosts:
            async def send(self, host, call, body):
                return await fixture.client.send(
                    fixture.upstream(host.name), call, body
                )

        hosts = [
            HostInfo(f"engine-{number}", "a", "", ANY_PORT, ANY_PORT)
            for number in range(2)
        ]
        client = ResumingHostClient(
            Hosts(),
            fixture.clock,
            NullLog(),
            lambda: fixture.sheet,
            lambda domain: hosts,
        )
        for first in (0, 2):
            body = chat("hi", TOKENS, resume_from=first)
            call = fixture.call(CallKind.MODEL)
            complete_answer = await answer_or_error(client, hosts[0], call, body)
            self.assertEqual(complete_answer.count(b"token_index"), TOKENS - first)
            cut = AnswerFault(cut_after=400)
            fixture.engines[0].faults.answers.append(cut)
            self.assertEqual(
                await answer_or_error(client, hosts[0], call, body), complete_answer
            )
        fixture.engines[0].faults.answers.append(cut)
        # The first fault hits a pooled connection, on which the call is retried once.
        fixture.engines[1].faults.answers += 2 * [AnswerFault(cut_after=0)]
        answer = await client.send(hosts[0], call, body)
        data = b""
        with self.assertRaises(AnswerTruncated):
            while part := await answer.read():
                data += part
        self.assertTrue(data.split(b"\n\n")[-2].startswith(b"event: error"))
        await answer.close()

    @with_upstreams(engines=2)
    async def test_first_token_is_not_held_back(self, fixture):
        """Guards against a first token that is buffered until the next ones arrive."""
        fixture.engines[0].faults.update({"slow": 1.0})
        call = fixture.call(CallKind.MODEL)
        started = fixture.clock.monotonic()
        answer = await resuming_client(fixture).send(
            fixture.upstream("engine-0"), call, chat("hi", 3)
        )
        data = await answer.read()
        self.assertEqual(data.count(b"data: "), 1)
        self.assertLess(fixture.clock.monotonic() - started, 1.5)
        await answer.close()

    @with_upstreams(engines=2)
    async def test_answer_without_stream_is_unchanged(self, fixture):
        """Guards against a plain JSON answer that is parsed as events."""
        call = fixture.call(CallKind.MODEL)
        body = chat("hi", 3, stream=False)
        upstream = fixture.upstream("engine-0")
        self.assertEqual(
            await answer_or_error(resuming_client(fixture), upstream, call, body),
            await answer_or_error(fixture.client, upstream, call, body),
        )
