"""The checks and the schedule of the soak, and a short run of it."""

from unittest import TestCase

import curio

from soak.checks import Outcome, Record, RunAt, Span, problems_of
from soak.plan import Names, make_plan
from soak.run import Size, SoakRun

NAMES = Names(["h-0", "h-1"], ["r-0", "r-1"], ["z-0"])
ALL_EVENTS = (1, 2, 3)


def outcome(number, kind="order", status=200, **fields):
    values = {
        "host": "h-0",
        "signed": True,
        "whole": True,
        "ids": ALL_EVENTS if kind == "draft" else (),
        "sent_at": 30.0,
        "ended_at": 30.2,
        "timeout": 4.0,
    } | fields
    return Outcome(f"c-{number}", kind, status=status, **values)


def record(*outcomes, runs=(), closed=(), paused=(), named_dead=()):
    """Return a record with enough good calls after the faults, and more."""
    good = [outcome(number) for number in range(100, 130)]
    seen = [RunAt(item.call_id, "r-0", item.sent_at) for item in good]
    return Record(
        [*good, *outcomes],
        [*seen, *runs],
        list(closed),
        list(paused),
        20.0,
        len(ALL_EVENTS),
        list(named_dead),
    )


class CheckTest(TestCase):
    def found(self, *args, **fields):
        return {text.split(":")[0] for text in problems_of(record(*args, **fields))}

    def test_good_run(self):
        """Guards against checks that find what is allowed."""
        resumed = outcome(1, "chat", ids=ALL_EVENTS)
        broken = outcome(2, "draft", ids=(1, 2), whole=False)
        refused = outcome(3, status=503, signed=False)
        unknown = outcome(4, status=502, signed=False)
        runs = [RunAt("c-1", "r-0", 9.0), RunAt("c-1", "r-1", 9.5)]
        runs.append(RunAt("c-4", "r-0", 9.0))
        self.assertEqual(
            self.found(resumed, broken, refused, unknown, runs=runs), set()
        )

    def test_ran_twice(self):
        """Guards against an order that runs twice unseen."""
        runs = [RunAt("c-1", "r-0", 9.0), RunAt("c-1", "r-1", 9.0)]
        self.assertEqual(self.found(outcome(1), runs=runs), {"check_once"})

    def test_false_not_run(self):
        """Guards against a refusal that says "not run" of a call that ran."""
        refused = outcome(1, status=503, signed=False)
        runs = [RunAt("c-1", "r-0", 9.0)]
        self.assertEqual(self.found(refused, runs=runs), {"check_not_run"})

    def test_answers(self):
        """Guards against answers that look whole and are not."""
        for item in (
            outcome(1, signed=False),
            outcome(1, "draft", ids=(1, 2)),
            outcome(1, "draft", ids=(1, 3), whole=False),
            outcome(1, "chat", ids=(1, 1, 2, 3)),
        ):
            self.assertEqual(self.found(item), {"check_answers"}, item)

    def test_held(self):
        """Guards against a call that is held past the time of its route."""
        held = outcome(1, ended_at=35.5)
        self.assertEqual(self.found(held), {"check_ends"})
        other = Span("h-1", 31.0, 34.0)
        self.assertEqual(self.found(held, paused=[other]), {"check_ends"})
        before = Span("h-0", 25.0, 29.0)
        self.assertEqual(self.found(held, paused=[before]), {"check_ends"})
        self.assertEqual(self.found(held, paused=[Span("h-0", 33.0, 36.0)]), set())

    def test_closed(self):
        """Guards against work for a replica that was drained or evacuated."""
        runs = [RunAt("c-1", "r-1", 12.0)]
        closed = [Span("r-1", 11.0, 13.0)]
        self.assertEqual(
            self.found(outcome(1), runs=runs, closed=closed), {"check_closed"}
        )

    def test_recovery(self):
        """Guards against a deployment that does not serve again."""
        lost = [outcome(n, status=0, whole=False, signed=False) for n in range(9)]
        self.assertEqual(self.found(*lost), {"check_recovery"})

    def test_directory(self):
        """Guards against a dead host in the directory."""
        self.assertEqual(self.found(named_dead=["h-0 named h-1"]), {"check_directory"})


class PlanTest(TestCase):
    def test_repeated(self):
        """Guards against a seed that gives another run the second time."""
        self.assertEqual(make_plan(5, 30.0, NAMES), make_plan(5, 30.0, NAMES))
        self.assertNotEqual(make_plan(5, 30.0, NAMES), make_plan(6, 30.0, NAMES))

    def test_no_bound_during_store_faults(self):
        """Guards against bounds that are checked while hosts miss the store."""
        operations = {"evacuate", "drain", "manifest"}
        for seed in range(40):
            steps = make_plan(seed, 60.0, NAMES)
            operated = any(step.kind in operations for step in steps)
            store = any(
                step.target == "store" and step.kind != "manifest" for step in steps
            )
            self.assertFalse(operated and store, seed)


class RunTest(TestCase):
    def test_short_run(self):
        """Guards against promises that break under faults of real processes."""
        size = Size(6.0, 6, {"north-a": (2, 2), "south-a": (1, 1)})
        run = SoakRun(3, size)
        self.addCleanup(run.close)
        self.assertEqual(curio.run(run.run), [])
        self.assertGreater(run.outcomes, 50)
