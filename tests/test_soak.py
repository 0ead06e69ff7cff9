"""The checks and the schedule of the soak, and a short run of it."""

from unittest import TestCase

import curio

from soak.checks import Outcome, Record, ReplicaRun, Span, find_problems
from soak.plan import Targets, make_plan
from soak.run import RunSize, SoakRun

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


def record(*outcomes, runs=(), drained=(), paused=(), stale_directory_entries=()):
    """Return a record with enough good calls after the faults, and more."""
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
    )


class CheckTest(TestCase):
    def failed_checks(self, *args, **fields):
        return {text.split(":")[0] for text in find_problems(record(*args, **fields))}

    def test_good_run(self):
        """Guards against checks that find what is allowed."""
        resumed = outcome(1, "chat", event_ids=ALL_EVENTS)
        broken = outcome(2, "draft", event_ids=(1, 2), is_complete=False)
        refused = outcome(3, status=503, has_stamp=False)
        unknown = outcome(4, status=502, has_stamp=False)
        runs = [ReplicaRun("c-1", "r-0", 9.0), ReplicaRun("c-1", "r-1", 9.5)]
        runs.append(ReplicaRun("c-4", "r-0", 9.0))
        self.assertEqual(
            self.failed_checks(resumed, broken, refused, unknown, runs=runs), set()
        )

    def test_ran_twice(self):
        """Guards against an order that runs twice unseen."""
        runs = [ReplicaRun("c-1", "r-0", 9.0), ReplicaRun("c-1", "r-1", 9.0)]
        self.assertEqual(
            self.failed_checks(outcome(1), runs=runs), {"check_at_most_once"}
        )

    def test_false_not_run(self):
        """Guards against a refusal that says "not run" of a call that ran."""
        refused = outcome(1, status=503, has_stamp=False)
        runs = [ReplicaRun("c-1", "r-0", 9.0)]
        self.assertEqual(self.failed_checks(refused, runs=runs), {"check_not_run"})

    def test_answers(self):
        """Guards against answers that look whole and are not."""
        for item in (
            outcome(1, has_stamp=False),
            outcome(1, "draft", event_ids=(1, 2)),
            outcome(1, "draft", event_ids=(1, 3), is_complete=False),
            outcome(1, "chat", event_ids=(1, 1, 2, 3)),
        ):
            self.assertEqual(self.failed_checks(item), {"check_answers"}, item)

    def test_held(self):
        """Guards against a call that is held past the time of its route."""
        held = outcome(1, ended_at=35.5)
        self.assertEqual(self.failed_checks(held), {"check_deadlines"})
        other = Span("h-1", 31.0, 34.0)
        self.assertEqual(self.failed_checks(held, paused=[other]), {"check_deadlines"})
        before = Span("h-0", 25.0, 29.0)
        self.assertEqual(self.failed_checks(held, paused=[before]), {"check_deadlines"})
        self.assertEqual(
            self.failed_checks(held, paused=[Span("h-0", 33.0, 36.0)]), set()
        )

    def test_closed(self):
        """Guards against work for a replica that was drained or evacuated."""
        runs = [ReplicaRun("c-1", "r-1", 12.0)]
        drained = [Span("r-1", 11.0, 13.0)]
        self.assertEqual(
            self.failed_checks(outcome(1), runs=runs, drained=drained),
            {"check_drained"},
        )

    def test_recovery(self):
        """Guards against a deployment that does not serve again."""
        lost = [
            outcome(n, status=0, is_complete=False, has_stamp=False) for n in range(9)
        ]
        self.assertEqual(self.failed_checks(*lost), {"check_recovery"})

    def test_directory(self):
        """Guards against a dead host in the directory."""
        self.assertEqual(
            self.failed_checks(stale_directory_entries=["h-0 named h-1"]),
            {"check_directory"},
        )


class PlanTest(TestCase):
    def test_repeated(self):
        """Guards against a seed that gives another run the second time."""
        self.assertEqual(make_plan(5, 30.0, TARGETS), make_plan(5, 30.0, TARGETS))
        self.assertNotEqual(make_plan(5, 30.0, TARGETS), make_plan(6, 30.0, TARGETS))

    def test_no_bound_during_store_faults(self):
        """Guards against bounds that are checked while hosts miss the store."""
        operations = {"evacuate", "drain", "manifest"}
        for seed in range(40):
            steps = make_plan(seed, 60.0, TARGETS)
            operated = any(step.kind in operations for step in steps)
            store = any(
                step.target == "store" and step.kind != "manifest" for step in steps
            )
            self.assertFalse(operated and store, seed)


class RunTest(TestCase):
    def test_short_run(self):
        """Guards against promises that break under faults of real processes."""
        size = RunSize(6.0, 6, {"north-a": (2, 2), "south-a": (1, 1)})
        run = SoakRun(3, size)
        self.addCleanup(run.close)
        self.assertEqual(curio.run(run.run), [])
        self.assertGreater(run.call_count, 50)
