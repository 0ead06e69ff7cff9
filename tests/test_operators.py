"""The operators' interface of complete hosts and the commands that use it."""

import json
import random
import re
import xml.etree.ElementTree as ElementTree
from datetime import timedelta
from unittest import TestCase

from hypothesis import given, settings, strategies as st

from sassafraskeel.core.errors import SassafraskeelError
from sassafraskeel.core.metrics import (
    Metrics,
    count_at_most,
    merge_histograms,
    new_histogram,
)
from sassafraskeel.core.net import Address
from sassafraskeel.decisions.burn import Objective, Sample, burn_rows
from sassafraskeel.operators.burn_report import burn_page, burn_result, collect_burn
from sassafraskeel.operators.client import HostAnswers, OperatorClient
from sassafraskeel.operators.results import EXIT_DONE, EXIT_NOT_DONE
from sassafraskeel.operators.server import MAX_CONNECTIONS
from sassafraskeel.operators.status_commands import _DrainHostCommand, status_result
from tests.support.clock import run_virtual
from tests.test_callers_server import CHAT, chat
from tests.test_host import with_world

NOWHERE = Address("127.0.0.1", 9)
LATENCIES = st.lists(st.integers(1, 5000), max_size=40)


class OperatorsTest(TestCase):
    def addresses(self, world):
        return [host.operators_address for host in world.hosts]

    def client(self, world, token="operator-token"):
        return OperatorClient(token, world.clock, world.network)

    @with_world
    async def test_tokens(self, world):
        """Guards against callers and peers that are accepted as operators."""
        address = self.addresses(world)[0]
        for token in ("x", "operator-toke", "gateway-token", "operator-token2"):
            for method, path in (("GET", "/status"), ("POST", "/drain")):
                with self.assertRaisesRegex(SassafraskeelError, "401"):
                    await self.client(world, token).request(address, method, path)
        self.assertFalse(world.hosts[0].drain_requested.is_set())
        with self.assertRaisesRegex(SassafraskeelError, "400"):
            await self.client(world).request(address, "GET", "/drain")
        head, _ = await world.call(0, "GET", "/status")
        self.assertEqual(head.status, 400)

    @with_world
    async def test_crowds_without_token(self, world):
        """Guards against connections without a token that keep operators out."""
        address = self.addresses(world)[0]
        for data in (b"", b"GET /sta", b"GET /status HTTP/1.1\r\nhost: a\r\n\r\n"):
            with self.subTest(data=data):
                streams = []
                for _ in range(MAX_CONNECTIONS + 4):
                    streams.append(await world.network.connect(address))
                    if data:
                        await streams[-1].write(data)
                await world.clock.sleep(0.1)
                client = self.client(world)
                answer = await client.request(address, "GET", "/status")
                self.assertIn("host", answer)
                for stream in streams:
                    await stream.close()
                await world.clock.sleep(0.1)

    @with_world
    async def test_status_and_drain(self, world):
        """Guards against a status that omits a host, and a drain of the wrong host."""
        client = self.client(world)
        answers = await client.request_all([*self.addresses(world), NOWHERE], "/status")
        result = status_result(answers)
        self.assertEqual(result.exit_status, EXIT_NOT_DONE)
        self.assertEqual(list(result.content["unreachable"]), [str(NOWHERE)])
        self.assertIn("no answer", result.lines[-1])
        first = result.content["hosts"][0]
        self.assertEqual(first["host"], "host-0")
        self.assertEqual(first["sheet_version"], 1)
        self.assertTrue(first["platform_available"])
        self.assertEqual(
            {row["host"]: row["liveness"] for row in first["members"]}["host-1"], "live"
        )
        self.assertEqual(first["upstreams"][0]["upstream"], "desk-1")
        command = _DrainHostCommand(settings="unused.ini", name="host-1")
        result = await command.run(None, client, self.addresses(world))
        self.assertEqual(result.exit_status, EXIT_DONE)
        self.assertEqual(
            [host.drain_requested.is_set() for host in world.hosts],
            [False, True, False],
        )

    @with_world
    async def test_metrics_and_burn(self, world):
        """Guards against calls that are counted twice, and hosts that are omitted."""
        for number in range(6):
            await world.call(number % 3, "GET", "/w/shop/desk/stock/1")
            await world.call(number % 3, "POST", CHAT, body=chat(2))
        world.desk.delay = 3.0
        await world.call(0, "GET", "/w/shop/desk/stock/1")
        await world.call(0, "POST", "/w/shop/desk/orders")  # An error of the caller.
        text = world.hosts[0].metrics.prometheus_text().decode()
        self.assertIn('sassafraskeel_call_latency_seconds_count{kind="read"', text)
        client = self.client(world)
        answers = await client.request_all([*self.addresses(world), NOWHERE], "/burn")
        burn = collect_burn(answers)
        counts = {
            (row.service, row.region): (row.calls, row.bad)
            for row in burn.rows
            if row.window == "5m"
        }
        self.assertEqual(
            counts,
            {
                ("chat", "north"): (4, 0),
                ("chat", "south"): (2, 0),
                ("desk", "north"): (5, 1),
                ("desk", "south"): (2, 0),
            },
        )
        result = burn_result(burn)
        self.assertEqual(
            (result.exit_status, len(result.content["missing"])), (EXIT_NOT_DONE, 1)
        )
        page = burn_page(burn)
        self.assertIn(str(NOWHERE), page)
        loaded = re.compile(r"<script|<link|<img|src=|href=\"h|@import|url\(h")
        self.assertIsNone(loaded.search(page))
        for part in page.split("<svg")[1:]:
            ElementTree.fromstring("<svg" + part.split("</svg>")[0] + "</svg>")
        world.clock.wall_offset = timedelta(minutes=10)
        later = collect_burn(await client.request_all(self.addresses(world), "/burn"))
        self.assertEqual({row.calls for row in later.rows if row.window == "5m"}, {0})
        self.assertEqual(sum(row.calls for row in later.rows), 13)


class MetricsTest(TestCase):
    @settings(max_examples=30)
    @given(st.lists(LATENCIES, max_size=4), st.integers(1, 5000))
    def test_merged_histograms(self, hosts, limit):
        """Guards against sums of hosts that differ from one host with all calls."""
        encoded = []
        for values in hosts:
            histogram = new_histogram()
            for value in values:
                histogram.record_value(value)
            encoded.append(histogram.encode().decode())
        every = [value for values in hosts for value in values]
        total = merge_histograms(encoded)
        self.assertEqual(total.get_total_count(), len(every))
        counted = count_at_most(total, limit)
        # A histogram of two digits places a value within one percent.
        self.assertLessEqual(counted, sum(value <= limit * 1.01 for value in every))
        self.assertGreaterEqual(counted, sum(value <= limit * 0.99 for value in every))

    def test_bounds(self):
        """Guards against metrics that grow with time or with the sheet."""

        async def main(clock):
            metrics = Metrics(clock)
            for number in range(400):
                metrics.count_call("caller", f"s{number}", "read", "answered", "", 1)
            self.assertEqual(len(metrics.series_keys()), 257)
            for _ in range(100):
                metrics.count_call("caller", "s1", "read", "answered", "", 1)
                await clock.sleep(60)
            minutes = [
                entry for entry in metrics.burn_minutes() if entry.service == "s1"
            ]
            self.assertEqual(len(minutes), 60)

        run_virtual(main)

    def test_burn_against_a_count(self):
        """Guards against windows that count a minute too many or too few."""
        rng = random.Random(3)
        samples = []
        for _ in range(500):
            calls = rng.randrange(5)
            samples.append(
                Sample("s", "r", 1000 - rng.randrange(70), calls, rng.randint(0, calls))
            )
        rows = burn_rows(samples, {"s": Objective(100, 0.9)}, 1000)
        for row, minutes in zip(rows, (5, 60), strict=True):
            inside = [entry for entry in samples if entry.minute > 1000 - minutes]
            calls, bad = (sum(entry[index] for entry in inside) for index in (3, 4))
            self.assertEqual((row.calls, row.bad), (calls, bad))
            self.assertAlmostEqual(row.burn, bad / calls / 0.1)
        self.assertEqual(burn_rows(samples, {}, 1000), [])


class ClientTest(TestCase):
    def test_wrong_answers(self):
        """Guards against a report that counts a malformed answer as a host."""
        burn = collect_burn(HostAnswers({NOWHERE: {"host": 1}}, {}))
        self.assertEqual((burn.hosts, list(burn.missing)), ([], [str(NOWHERE)]))
        self.assertEqual(json.loads(json.dumps(burn_result(burn).content))["rows"], [])
