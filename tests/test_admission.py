"""Tests of the admission queue against a simple model, and of its fairness."""

from unittest import TestCase

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sassafraskeel.decisions.admission import AdmissionQueue, QueuedCall

LENGTH = 5
SHARES = {"small": 1.0, "middle": 2.0, "large": 4.0}


class QueueMachine(RuleBasedStateMachine):
    """Guards against calls that are lost, duplicated, late or served out of order."""

    def __init__(self):
        super().__init__()
        self.queue = AdmissionQueue(LENGTH)
        self.waiting: dict[int, QueuedCall] = {}
        self.ended: set[int] = set()
        self.count = 0
        self.now = 0.0

    def end(self, entry):
        assert entry.number not in self.ended, "a call ended twice"
        self.ended.add(entry.number)
        del self.waiting[entry.number]

    @rule(
        workspace=st.sampled_from(sorted(SHARES)),
        priority=st.integers(0, 2),
        seconds=st.integers(1, 9),
        remote=st.booleans(),
    )
    def add(self, workspace, priority, seconds, remote):
        entry = QueuedCall(
            self.count, workspace, priority, self.now + seconds, 1.0, remote
        )
        self.count += 1
        self.waiting[entry.number] = entry
        full = len(self.waiting) > LENGTH
        remotes = [other for other in self.waiting.values() if other.remote]
        loads = {}
        for other in self.waiting.values():
            share = 1 / SHARES[other.workspace]
            loads[other.workspace] = loads.get(other.workspace, 0.0) + share
        shed = self.queue.add(entry, SHARES)
        assert (shed is not None) == full
        if shed is not None:
            assert shed.remote or not remotes, "shed before work of other domains"
            if not remotes:
                assert loads[shed.workspace] == max(loads.values())
            rivals = remotes or [
                other
                for other in self.waiting.values()
                if other.workspace == shed.workspace
            ]
            assert shed.rank == max(other.rank for other in rivals)
            self.end(shed)

    @rule()
    def take(self):
        first = self.queue.peek()
        entry = self.queue.pop(SHARES)
        assert entry == first
        if entry is None:
            assert not self.waiting
            return
        own = [other for other in self.waiting.values() if not other.remote]
        pool = own or list(self.waiting.values())
        assert entry in pool
        same = [other for other in pool if other.workspace == entry.workspace]
        assert entry.rank == min(other.rank for other in same)
        self.end(entry)

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def give_up(self, data):
        number = data.draw(st.sampled_from(sorted(self.waiting)))
        assert self.queue.remove(number)
        assert not self.queue.remove(number)
        self.end(self.waiting[number])

    @rule(seconds=st.integers(1, 4))
    def pass_time(self, seconds):
        self.now += seconds
        late = {entry.number for entry in self.queue.pop_expired(self.now)}
        assert late == {
            entry.number for entry in self.waiting.values() if entry.expires <= self.now
        }
        for number in late:
            self.end(self.waiting[number])

    @invariant()
    def keeps_every_call(self):
        assert len(self.queue) == len(self.waiting) <= LENGTH

    @invariant()
    def predicts_no_more_than_all_work(self):
        entry = QueuedCall(-1, "small", 1, self.now + 5, 1.0, False)
        ahead = self.queue.work_ahead(entry, SHARES)
        assert 0 <= ahead <= len(self.waiting)


QueueMachineTest = QueueMachine.TestCase
QueueMachineTest.settings = settings(max_examples=60, stateful_step_count=40)


class FairnessTest(TestCase):
    def test_workspaces_are_served_by_share(self):
        """Guards against a workspace that gets too large a share while others wait."""
        queue = AdmissionQueue(1000)
        for number in range(600):
            workspace = sorted(SHARES)[number % 3]
            # The workspace with the smallest share has the best priority.
            priority = 0 if workspace == "small" else 5
            queue.add(QueuedCall(number, workspace, priority, 1e9, 1.0, False), SHARES)
        served = [queue.pop(SHARES).workspace for _ in range(210)]
        for workspace, share in SHARES.items():
            self.assertAlmostEqual(served.count(workspace), 30 * share, delta=2)

    def test_idle_workspace_saves_no_credit(self):
        """Guards against a burst after an idle period that starves other workspaces."""
        queue = AdmissionQueue(1000)
        for number in range(200):
            queue.add(QueuedCall(number, "small", 3, 1e9, 1.0, False), SHARES)
        for _ in range(100):
            queue.pop(SHARES)
        for number in range(200, 260):
            queue.add(QueuedCall(number, "middle", 3, 1e9, 1.0, False), SHARES)
        served = [queue.pop(SHARES).workspace for _ in range(30)]
        self.assertAlmostEqual(served.count("middle"), 20, delta=2)


class VersionTest(TestCase):
    """Calls that take only slots of one software version."""

    def setUp(self):
        self.queue = AdmissionQueue(1000)
        for number, version in enumerate(("v1", "v1", "v2", "", "v1", "")):
            call = QueuedCall(number, "small", 1, 1e9, 1.0, False, version)
            self.queue.add(call, SHARES)

    def test_skipped_versions(self):
        """Guards against calls that wait behind one whose version has no free slot."""
        served = []
        while (entry := self.queue.pop(SHARES, {"v1"})) is not None:
            self.assertEqual(self.queue.peek({"v1"}) is None, entry.number == 5)
            served.append(entry.number)
        self.assertEqual(served, [2, 3, 5])
        self.assertEqual([self.queue.pop(SHARES).number for _ in range(3)], [0, 1, 4])

    def test_rivals(self):
        """Guards against a new call that waits, or does not, behind the wrong calls."""
        rivals = [self.queue.has_rivals(version) for version in ("", "v1", "v9")]
        self.assertEqual(rivals, [True, True, True])
        for number in (3, 5):
            self.queue.remove(number)
        rivals = [self.queue.has_rivals(version) for version in ("", "v1", "v9")]
        self.assertEqual(rivals, [False, True, False])

    def test_calls_ahead(self):
        """Guards against calls that are counted for slots they can't take."""
        ahead = [
            self.queue.calls_ahead("small", 1, SHARES, v) for v in ("", "v1", "v9")
        ]
        self.assertEqual(ahead, [2, 3, 0])
