"""Tests of the acceptance and precedence of sheets against a simple model."""

import random
from collections import Counter
from types import SimpleNamespace

import curio
from hypothesis import Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from sassafraskeel.core.errors import (
    ConnectionLost,
    PlatformUnavailable,
    SheetConflict,
    UserError,
)
from sassafraskeel.core.events import Event
from sassafraskeel.core.net import Address
from sassafraskeel.core.settings import PlatformSection
from sassafraskeel.core.tasks import SupervisedTaskGroup
from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.membership import Member, Membership
from sassafraskeel.gateways.codec import decode, encode
from sassafraskeel.gateways.messages import SheetDelta
from sassafraskeel.gateways.sheets import SheetExchange
from sassafraskeel.sheets.installed import InstalledSheet
from sassafraskeel.sheets.parse import compute_digest
from sassafraskeel.store.sheet_follower import SheetFollower
from sassafraskeel.store.sheet_store import (
    HEAD_KEY,
    accept_sheet,
    read_head,
    read_text,
)
from tests.support.clock import VirtualClock
from tests.support.store import MemoryStore

ADDRESS = Address("127.0.0.1", 1)
CONVERGENCE_SECONDS = 7.0
DOMAINS = {"x1": "x", "x2": "x", "y1": "y", "y2": "y"}
ROWS = """kind,name,domain,address,service,type,regions,home,slots
domain,x,,,,,r,,
domain,y,,,,,q,,
service,chat,,,,model,r q,,
workspace,shop,,,,,r q,x,
upstream,u1,x,127.0.0.1:1,chat,,,,{number}
upstream,u2,y,127.0.0.1:2,chat,,,,{half}
"""


def sheet_text(number):
    return ROWS.format(number=number, half=1 + number // 2)


class Node:
    """The components of a host that follow the sheet, with links in memory."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.info = HostInfo(name, DOMAINS[name], f"{name}-0", ADDRESS, ADDRESS)
        self.group = SupervisedTaskGroup(world.failures.append)
        self.membership = Membership(self.info)
        self.versions = []
        self.installed = InstalledSheet(self)
        self._handlers = {}
        self.exchange = SheetExchange(self.installed, self, self.group, self)
        self.follower = SheetFollower(
            PlatformSection(address=ADDRESS),
            world.store.client(lambda: name in world.cut),
            self.installed,
            self.membership,
            world.clock,
            world.rng,
            self,
            self.exchange.announce,
        )

    async def start(self):
        await self.group.spawn(self.follower.run)
        await self.group.spawn(self._ping)

    def emit(self, event, **fields):
        self.world.events[event] += 1
        if event is Event.SHEET_INSTALLED:
            self.versions.append(fields["version"])
            self.world.installations.add(self.installed.stamp)

    def on_request(self, kind, handler):
        self._handlers[kind] = handler

    def add_pong_listener(self, listener):
        pass

    def links(self):
        return [
            SimpleNamespace(peer=peer.info, request=self._requester(peer))
            for peer in self.world.reachable(self)
        ]

    def _requester(self, peer):
        async def request(message, timeout):
            await self.world.clock.sleep(0.08)
            if peer not in self.world.reachable(self):
                raise ConnectionLost("cut")
            message = decode(encode(message))
            if isinstance(message, SheetDelta):
                self.world.deltas.append(message)
            answer = await peer._handlers[type(message)](self.info, message)
            await self.world.clock.sleep(0.08)
            return decode(encode(answer))

        return request

    async def _ping(self):
        while True:
            for link in self.links():
                version = self.world.nodes[link.peer.name].installed.version
                now = self.world.clock.monotonic()
                self.membership.update(Member(link.peer, now, version, False))
                pong = SimpleNamespace(sheet_version=version)
                await self.exchange.on_pong(link, pong)
            await self.world.clock.sleep(1.0)


class PrecedenceMachine(RuleBasedStateMachine):
    """Acceptances, outages, restores, partitions and restarts in any order.

    Guards against a host that returns to an older sheet, two sheets with the same
    version, the loss of an accepted sheet, and hosts that do not converge.
    """

    def __init__(self):
        super().__init__()
        self.kernel = curio.Kernel()
        self.clock = VirtualClock()
        self.rng = random.Random(1)
        self.store = MemoryStore(self.clock, self.rng)
        self.cut = set()
        self.partitioned = False
        self.events = Counter()
        self.failures = []
        self.installations = set()
        self.accepted = {}
        self.expected = None
        self.undecided = set()
        self.restored = False
        self.snapshots = []
        self.deltas = []
        self.number = 0
        self.nodes = {name: Node(self, name) for name in DOMAINS}
        self.kernel.run(self._start)

    async def _start(self):
        await curio.spawn(self.clock.run, daemon=True)
        for node in self.nodes.values():
            await node.start()

    def reachable(self, node):
        return [
            other
            for other in self.nodes.values()
            if other is not node
            and not (self.partitioned and other.info.domain != node.info.domain)
        ]

    async def _accept(self, number):
        """Accept a new text, again after a lost answer, and update the model."""
        text = sheet_text(number)
        for _ in range(2):
            try:
                version = await accept_sheet(self.store, text)
            except PlatformUnavailable:
                self.undecided.add(compute_digest(text))
                continue
            except UserError as exc:
                assert isinstance(exc, SheetConflict), exc
                # A sheet that lost the race must not come into force later.
                self.undecided.discard(compute_digest(text))
                return
            self.undecided.discard(compute_digest(text))
            self.expected = compute_digest(text)
            if not self.restored:
                known = self.accepted.setdefault(version, self.expected)
                assert known == self.expected, "two sheets under one version"
            return

    async def _race(self, count):
        operators = SupervisedTaskGroup()
        for _ in range(count):
            self.number += 1
            await operators.spawn(self._accept, self.number)
        await operators.join()

    @initialize(seed=st.integers(0, 2**16))
    def have_history(self, seed):
        """Create a backup that is older than the sheet in force."""
        self.rng.seed(seed)
        self.accept(3, 0, 0)
        self.take_backup()
        self.accept(1, 0, 0)
        self.wait(4.0)

    @rule(
        count=st.integers(1, 3),
        lose_answers=st.integers(0, 2),
        lose_requests=st.integers(0, 1),
    )
    def accept(self, count, lose_answers, lose_requests):
        """Let several operators accept sheets at once, with lost messages."""
        self.store.lose_answers, self.store.lose_requests = lose_answers, lose_requests
        self.kernel.run(self._race, count)
        self.store.lose_answers = self.store.lose_requests = 0

    @rule(down=st.booleans())
    def disturb_store(self, down):
        self.store.down = down

    @rule(silent=st.booleans())
    def silence_watches(self, silent):
        """Leave all watches unanswered, pending and new ones."""
        self.store.silent = silent

    @rule()
    def take_backup(self):
        self.snapshots.append(dict(self.store.values))

    @precondition(lambda self: self.snapshots)
    @rule(data=st.data(), settle=st.booleans())
    def restore_backup(self, data, settle):
        self.store.restore(data.draw(st.sampled_from(self.snapshots)))
        self.restored = True
        self._forget_lost()
        if settle:
            self.converge()

    @precondition(lambda self: self.snapshots)
    @rule(data=st.data(), count=st.integers(1, 3))
    def restore_unseen(self, data, count):
        """Restore and accept new sheets while no host reaches the store."""
        self.cut = set(DOMAINS)
        self.store.down = False
        self.restore_backup(data, False)
        for _ in range(count):
            self.kernel.run(self._race, 1)

    @rule(cut=st.sets(st.sampled_from(sorted(DOMAINS))), partitioned=st.booleans())
    def cut_links(self, cut, partitioned):
        self.cut, self.partitioned = set(cut), partitioned

    @rule(name=st.sampled_from(sorted(DOMAINS)))
    def replace_host(self, name):
        self.kernel.run(self._replace, name)
        self._forget_lost()

    async def _replace(self, name):
        await self.nodes[name].group.close()
        self.nodes[name] = Node(self, name)
        await self.nodes[name].start()

    @precondition(lambda self: self.deltas)
    @rule(data=st.data(), name=st.sampled_from(sorted(DOMAINS)))
    def repeat_delta(self, data, name):
        """Deliver an old delta again."""
        delta = data.draw(st.sampled_from(self.deltas))
        handler = self.nodes[name]._handlers[SheetDelta]
        self.kernel.run(handler, self.nodes[name].info, delta)
        self._check_hosts()

    @rule(seconds=st.sampled_from((0.1, 1.0, 4.0)))
    def wait(self, seconds):
        self.kernel.run(self.clock.sleep, seconds)
        self._check_hosts()

    @rule()
    def converge(self):
        """End all faults except silent watches and check that all hosts agree."""
        self.store.down = self.partitioned = False
        self.cut = set()
        self.kernel.run(self.clock.sleep, CONVERGENCE_SECONDS)
        self._check_hosts()
        stamps = {node.installed.stamp for node in self.nodes.values()}
        assert len(stamps) == 1, stamps
        value = self.store.values.get(HEAD_KEY)
        if self.expected is None or value is None:
            return
        self.kernel.run(self._read_text)
        digest = value.value["digest"]
        assert stamps.pop().digest == digest[:16], "a host is behind the head"
        allowed = {self.expected, *self.undecided}
        assert digest in allowed, "an accepted sheet is not in force"

    async def _read_text(self):
        await read_text(self.store, await read_head(self.store))

    def _forget_lost(self):
        """Clear the expectation of a sheet that no host or store holds any more."""
        value = self.store.values.get(HEAD_KEY)
        held = {value.value["digest"][:16]} if value and value.value else set()
        held |= {node.installed.stamp.digest for node in self.nodes.values()}
        if self.expected and self.expected[:16] not in held:
            self.expected = None

    def _check_hosts(self):
        assert not self.failures, self.failures
        for node in self.nodes.values():
            assert node.versions == sorted(set(node.versions)), "a host went back"
        if not self.restored:
            versions = [item.version for item in self.installations]
            assert len(versions) == len(set(versions)), "two sheets under one version"

    def teardown(self):
        try:
            self.converge()
        finally:
            self.kernel.run(shutdown=True)


PrecedenceMachine.TestCase.settings = settings(
    max_examples=30,
    stateful_step_count=20,
    deadline=None,
    # Shrinking a failing run of several hosts takes minutes.
    phases=(Phase.explicit, Phase.generate),
)
PrecedenceTest = PrecedenceMachine.TestCase
