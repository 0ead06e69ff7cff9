"""Tests of the checks and the schedule of the soak, and a short run of it."""

from unittest import TestCase

import curio

from soak.checks import find_problems
from soak.plan import Targets, make_plan
from soak.processes import ProcessWatch
from soak.record import (
    LimitedSpan,
    Outcome,
    Record,
    ReplicaRun,
    ServingSpan,
    Span,
    Writer,
)
from soak.run import VERSIONS, RunSize, SoakRun
from tools.route_cluster import HostProcess

TARGETS = Targets(["h-0", "h-1"], ["r-0", "r-1"], ["z-0"])
ALL_EVENTS = (1, 2, 3)


def outcome(number, kind="order", status=200, **fields):
    values = {
        "host": "h-0",
        "has_stamp": True,
        "is_complete": True,
        "event_ids": ALL_EVENTS if kind == "draft" else (),
        "sent_at": 30.0,
        "ended_at": 30.2,
        "timeout": 4.0,
    } | fields
    return Outcome(f"c-{number}", kind, status=status, **values)


def record(
    *outcomes,
    runs=(),
    drained=(),
    paused=(),
    stale_directory_entries=(),
    limited=(),
    link_faults=(),
    serving=(),
):
    """Return a record with enough served calls after the faults, and the given ones."""
    good = [outcome(number) for number in range(100, 130)]
    seen = [ReplicaRun(item.call_id, "r-0", item.sent_at) for item in good]
    return Record(
        [*good, *outcomes],
        [*seen, *runs],
        list(drained),
        list(paused),
        20.0,
        len(ALL_EVENTS),
        list(stale_directory_entries),
        list(limited),
        list(link_faults),
        serving=list(serving),
    )


class FakeCluster:
    """A cluster with one host, its exit status and its log."""

    def __init__(self):
        self.hosts = [HostProcess("h-0", "a", {})]
        self.status, self.text = None, ""

    @property
    def processes(self):
        return {"h-0": self}

    def poll(self):
        return self.status

    def log(self, name):
        return self.text


class CheckTest(TestCase):
    def failed_checks(self, *args, **fields):
        return {text.split(":")[0] for text in find_problems(record(*args, **fields))}

    def test_replica_that_runs_on(self):
        """Guards against streams that two replicas run at once without a finding."""
        chat = outcome(1, "chat", event_ids=ALL_EVENTS)

        def failed(ended_at, **fields):
            runs = [ReplicaRun("c-1", "r-0", 9.0, ended_at)]
            runs.append(ReplicaRun("c-1", "r-1", 10.0, 10.2))
            return self.failed_checks(chat, runs=runs, **fields)

        self.assertEqual(failed(10.3), set())
        self.assertEqual(failed(None), set())
        self.assertEqual(failed(10.5), {"check_one_replica"})
        sound = [Span("r-0", 9.1, 10.5)]
        self.assertEqual(failed(10.5, paused=sound), {"check_one_replica"})
        for span in (Span("r-0", 9.1, 10.7), Span("h-0", 9.1, 9.5)):
            self.assertEqual(failed(10.7, paused=[span]), set())
        self.assertEqual(failed(10.5, link_faults=sound), set())

    def test_allowed_results(self):
        """Guards against checks that report allowed results."""
        resumed = outcome(1, "chat", event_ids=ALL_EVENTS)
        broken = outcome(2, "draft", event_ids=(1, 2), is_complete=False)
        refused = outcome(3, status=503, has_stamp=False)
        unknown = outcome(4, status=502, has_stamp=False)
        runs = [ReplicaRun("c-1", "r-0", 9.0), ReplicaRun("c-1", "r-1", 9.5)]
        runs.append(ReplicaRun("c-4", "r-0", 9.0))
        self.assertEqual(
            self.failed_checks(resumed, broken, refused, unknown, runs=runs), set()
        )

    def test_processes(self):
        """Guards against hosts that end, or fail, without a finding."""
        cluster = FakeCluster()
        watch = ProcessWatch(cluster)
        watch.check_running(["h-0"])
        watch.stopped("h-0", 0)
        self.assertEqual(watch.faults(), [])
        cluster.text = '{"host": "h-0", "number": 111, "level": "error"}'
        self.assertEqual(len(watch.faults()), 1)
        cluster.text, cluster.status = "", -6
        watch.check_running(["h-0"])
        watch.stopped("h-0", 1)
        self.assertEqual(len(watch.faults()), 2)
        found = record()._replace(process_faults=watch.faults())
        failed = {text.split(":")[0] for text in find_problems(found)}
        self.assertEqual(failed, {"check_processes"})

    def test_limit_exceeded(self):
        """Guards against a replica over its limit that is not reported."""
        kept = [10.0 + number / 2 for number in range(40)]
        burst = [20.0 + number / 100 for number in range(10)]
        for times, failed in ((kept, set()), (kept + burst, {"check_limits"})):
            limited = LimitedSpan("r-0", 2.0, 5.0, 30.0, times)
            self.assertEqual(self.failed_checks(limited=[limited]), failed)
        # Hosts need not know the limit yet.
        early = LimitedSpan("r-0", 2.0, 19.0, 30.0, kept + burst)
        self.assertEqual(self.failed_checks(limited=[early]), set())

    def test_order_ran_twice(self):
        """Guards against an order that runs twice without being reported."""
        runs = [ReplicaRun("c-1", "r-0", 9.0), ReplicaRun("c-1", "r-1", 9.0)]
        self.assertEqual(
            self.failed_checks(outcome(1), runs=runs), {"check_at_most_once"}
        )

    def test_refused_call_ran(self):
        """Guards against a call that ran although it was refused as not run."""
        refused = outcome(1, status=503, has_stamp=False)
        runs = [ReplicaRun("c-1", "r-0", 9.0)]
        self.assertEqual(self.failed_checks(refused, runs=runs), {"check_not_run"})

    def test_incomplete_answers(self):
        """Guards against missing or repeated events, and answers without a stamp."""
        for item in (
            outcome(1, has_stamp=False),
            outcome(1, "draft", event_ids=(1, 2)),
            outcome(1, "draft", event_ids=(1, 3), is_complete=False),
            outcome(1, "chat", event_ids=(1, 1, 2, 3)),
        ):
            self.assertEqual(self.failed_checks(item), {"check_answers"}, item)

    def test_late_answer(self):
        """Guards against a call that ends after its deadline without a pause."""
        late = outcome(1, ended_at=35.5)
        self.assertEqual(self.failed_checks(late), {"check_deadlines"})
        other = Span("h-1", 31.0, 34.0)
        self.assertEqual(self.failed_checks(late, paused=[other]), {"check_deadlines"})
        before = Span("h-0", 25.0, 29.0)
        self.assertEqual(self.failed_checks(late, paused=[before]), {"check_deadlines"})
        self.assertEqual(
            self.failed_checks(late, paused=[Span("h-0", 33.0, 36.0)]), set()
        )

    def test_call_to_drained_replica(self):
        """Guards against calls to a replica that was drained or evacuated."""
        runs = [ReplicaRun("c-1", "r-1", 12.0)]
        drained = [Span("r-1", 11.0, 13.0)]
        self.assertEqual(
            self.failed_checks(outcome(1), runs=runs, drained=drained),
            {"check_drained"},
        )

    def test_no_recovery(self):
        """Guards against a deployment that does not serve calls after the faults."""
        lost = [
            outcome(n, status=0, is_complete=False, has_stamp=False) for n in range(9)
        ]
        self.assertEqual(self.failed_checks(*lost), {"check_recovery"})

    def test_stream_of_two_versions(self):
        """Guards against streams with events of two versions that are not reported."""
        first, second = Writer("r-0", "v1"), Writer("r-1", "v2")
        broken = outcome(
            1, "chat", event_ids=(1, 2), is_complete=False, writers=(first, first)
        )
        rest = outcome(2, "chat", event_ids=(3,), resumes="c-1", last_event_id=2)
        answer = outcome(1, "chat", event_ids=ALL_EVENTS)
        for items, expected in (
            ((broken, rest._replace(writers=(second,))), {"check_versions"}),
            ((broken, rest._replace(writers=(first,))), set()),
            ([answer._replace(writers=(first, second, second))], {"check_versions"}),
            ([answer._replace(writers=(second, second, second))], set()),
        ):
            self.assertEqual(self.failed_checks(*items), expected)

    def test_streams_not_taken_up(self):
        """Guards against hosts that refuse all streams that are taken up."""
        times = {"sent_at": 20.0, "ended_at": 20.2}
        first = {"event_ids": (1,), "writers": (Writer("r-0", "v1"),)}
        chats = [
            outcome(n, "chat", is_complete=False, **first, **times) for n in range(12)
        ]
        refused = [
            outcome(f"{n}-1", "chat", 503, resumes=f"c-{n}", last_event_id=1, **times)
            for n in range(12)
        ]
        outcomes = [*chats, *refused]
        serving = [ServingSpan(f"r-{n}", "v1", 10.0, 40.0) for n in range(2)]
        paused = Span("h-0", 16.0, 16.1)
        one_version = [serving[0], serving[1]._replace(version="v2")]
        for items, fields, expected in (
            (outcomes, {"serving": serving}, {"check_taken_up"}),
            (outcomes[:-1], {"serving": serving}, set()),
            (outcomes, {"serving": one_version}, set()),
            (outcomes, {"serving": serving, "paused": [paused]}, set()),
        ):
            self.assertEqual(self.failed_checks(*items, **fields), expected)

    def test_dead_host_in_directory(self):
        """Guards against a directory that lists a stopped host."""
        self.assertEqual(
            self.failed_checks(stale_directory_entries=["h-0 named h-1"]),
            {"check_directory"},
        )


class PlanTest(TestCase):
    def test_same_seed(self):
        """Guards against a seed that gives different schedules."""
        self.assertEqual(make_plan(5, 30.0, TARGETS), make_plan(5, 30.0, TARGETS))
        self.assertNotEqual(make_plan(5, 30.0, TARGETS), make_plan(6, 30.0, TARGETS))

    def test_limited_replica_stays(self):
        """Guards against limits that a new replica has not named yet."""
        for seed in range(40):
            steps = make_plan(seed, 60.0, TARGETS)
            targets = {
                kind: {step.target for step in steps if step.kind == kind}
                for kind in ("limit", "take_over", "refuse_some")
            }
            self.assertFalse(targets["limit"] & targets["take_over"], seed)
            self.assertTrue(targets["take_over"], seed)
            self.assertEqual(targets["refuse_some"], set(TARGETS.replicas), seed)

    def test_no_operations_with_store_faults(self):
        """Guards against checks of time limits while hosts cannot reach the store."""
        operations = {"evacuate", "drain", "manifest"}
        for seed in range(40):
            steps = make_plan(seed, 60.0, TARGETS)
            has_operations = any(step.kind in operations for step in steps)
            has_store_faults = any(
                step.target == "store" and step.kind != "manifest" for step in steps
            )
            self.assertFalse(has_operations and has_store_faults, seed)


class RunTest(TestCase):
    def test_short_run(self):
        """Guards against checks that fail under faults of real processes."""
        size = RunSize(6.0, 6, {"north-a": (2, 2), "south-a": (1, 1)})
        run = SoakRun(3, size)
        self.addCleanup(run.close)
        self.assertEqual(curio.run(run.run), [])
        self.assertGreater(run.call_count, 50)

    def test_short_run_of_two_versions(self):
        """Guards against streams that go on at another software version."""
        zones = {"north-a": (2, 4), "south-a": (1, 2)}
        run = SoakRun(4, RunSize(6.0, 6, zones, versions=VERSIONS))
        self.addCleanup(run.close)
        self.assertEqual(curio.run(run.run), [])
        self.assertGreater(run.call_count, 50)
