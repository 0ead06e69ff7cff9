"""Tests of the order decisions with random faults in simulated hosts."""

import random
from unittest import TestCase

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from sassafraskeel.store.key_value import Revision
from tests.support.orders import Simulation

SLOTS = 4
RANDOM_RUNS = 15
slots = st.integers(0, SLOTS - 1)
numbers = st.integers(0, 7)


class OrderMachine(RuleBasedStateMachine):
    """Guards against an order that runs twice or is wrongly refused as not run."""

    @initialize(count=st.integers(1, SLOTS))
    def begin(self, count):
        self.sim = Simulation(SLOTS)
        for slot in range(count):
            self.sim.start(slot)
        self.sim.tick(30)

    @rule(slot=slots, offset=st.sampled_from([-5.0, 0.0, 5.0]))
    def start(self, slot, offset):
        self.sim.start(slot, offset)

    @rule(slot=slots)
    def kill(self, slot):
        self.sim.kill(slot)

    @rule(slot=slots, paused=st.booleans())
    def pause(self, slot, paused):
        if self.sim.hosts[slot]:
            self.sim.hosts[slot].paused = paused

    @rule(slot=slots, offset=st.sampled_from([-5.0, 0.0, 5.0]))
    def step_clock(self, slot, offset):
        if self.sim.hosts[slot]:
            self.sim.hosts[slot].offset = offset

    @rule(slot=slots)
    def leave(self, slot):
        if self.sim.hosts[slot]:
            self.sim.hosts[slot].context.view_state.leaving = True

    @rule(group=st.sets(slots), platform=st.sampled_from(["in", "out", "both"]))
    def partition(self, group, platform):
        self.sim.partition(group, platform)

    @rule(down=st.booleans())
    def platform_outage(self, down):
        self.sim.down = down

    @rule()
    def heal(self):
        self.sim.heal()

    @rule(back=st.integers(1, 4))
    def restore(self, back):
        # The platform decides between the two sides of a partition. When a restore
        # loses the decision, a host that knows it has to reach the platform.
        self.sim.heal()
        self.sim.restore(back)

    @rule(seconds=st.sampled_from([0.5, 1, 2, 4, 8, 16]))
    def tick(self, seconds):
        self.sim.tick(seconds)

    @rule(slot=slots)
    def poll(self, slot):
        if self.sim.hosts[slot]:
            self.sim.hosts[slot].poll()

    @rule(slot=slots, ahead=st.sampled_from([0.0, 9.0, 12.0, 60.0]))
    def new_order(self, slot, ahead):
        host = self.sim.hosts[slot]
        if host and host.active:
            self.sim.submit(host, self.sim.new_id(ahead))

    @rule(slot=slots, number=numbers)
    def retry(self, slot, number):
        host = self.sim.hosts[slot]
        if host and host.active and self.sim.ids:
            self.sim.submit(host, self.sim.ids[-1 - number % len(self.sim.ids)])

    @rule(number=numbers, lose_answer=st.booleans(), refused=st.booleans())
    def step(self, number, lose_answer, refused):
        self.sim.step_attempt(number, lose_answer=lose_answer, refused=refused)

    @rule(ahead=st.sampled_from([0.0, 9.0]), order=st.permutations(range(SLOTS)))
    def burst(self, ahead, order):
        """Send one order to each host in turn and finish its attempt each time."""
        text = self.sim.new_id(ahead)
        for slot in order:
            host = self.sim.hosts[slot]
            if host and host.active:
                self.sim.submit(host, text)
                self.sim.finish_attempts()

    @rule()
    def finish_attempts(self):
        self.sim.finish_attempts()


def run_random_faults(seed, steps=400):
    """Apply random rules, mostly orders and ticks; return the simulation."""
    rng = random.Random(seed)
    machine = OrderMachine()
    machine.begin(count=rng.randint(1, SLOTS))
    sim = machine.sim
    for _ in range(steps):
        slot, number = rng.randrange(SLOTS), rng.randrange(8)
        kind = rng.random()
        if kind < 0.18:
            machine.new_order(slot, rng.choice((0.0, 0.0, 9.0, 12.0)))
        elif kind < 0.26:
            machine.burst(rng.choice((0.0, 9.0)), rng.sample(range(SLOTS), SLOTS))
        elif kind < 0.36:
            machine.retry(slot, number)
        elif kind < 0.62:
            machine.step(number, rng.random() < 0.1, rng.random() < 0.1)
        elif kind < 0.88:
            machine.tick(rng.choice((0.5, 0.5, 0.5, 1, 1, 2, 2, 4, 6, 16)))
        elif kind < 0.90:
            machine.start(slot, rng.choice((-5.0, 0.0, 5.0)))
        elif kind < 0.915:
            machine.kill(slot)
        elif kind < 0.945:
            machine.pause(slot, rng.random() < 0.4)
        elif kind < 0.97:
            group = {s for s in range(SLOTS) if rng.random() < 0.5}
            machine.partition(group, rng.choice(("in", "out", "both")))
        elif kind < 0.975:
            machine.platform_outage(rng.random() < 0.5)
        elif kind < 0.98:
            machine.leave(slot)
        elif kind < 0.982:
            machine.restore(rng.randint(1, 3))
        else:
            machine.heal()
    return sim


class OrderMachineTest(TestCase):
    def test_machine(self):
        """Guards against a short sequence of faults that breaks an invariant."""
        run_state_machine_as_test(
            OrderMachine, settings=settings(max_examples=40, stateful_step_count=40)
        )

    def test_long_fault_sequences(self):
        """Guards against a long sequence of faults that breaks an invariant.

        Orders have to be served again after the faults.
        """
        for seed in range(RANDOM_RUNS):
            sim = run_random_faults(seed)
            sim.heal()
            for slot in range(SLOTS):
                if sim.hosts[slot] and sim.hosts[slot].context.view_state.leaving:
                    sim.kill(slot)
                sim.start(slot)
            sim.tick(90)
            self.assertTrue(sim.serves_orders(), f"seed {seed}")

    def test_cut_off_domain(self):
        """Guards against a domain that takes no orders while the platform is down."""
        sim = Simulation(3)
        for slot in range(3):
            sim.start(slot)
        sim.tick(60)
        self.assertTrue(sim.serves_orders())
        sim.down = True
        for _ in range(10):
            sim.tick(360)
            self.assertTrue(sim.serves_orders())

    def send_everywhere(self, sim, ids):
        """Send orders to each host in turn and finish the attempt each time."""
        for text in ids:
            for host in sim.alive():
                sim.submit(host, text)
                sim.finish_attempts()

    def tick_until_proposed(self, sim, text):
        """Advance the time until a proposed change contains a text."""
        for _ in range(200):
            proposed = sim.value.partition('"next": {')[2].partition('"lost"')[0]
            if text in proposed:
                return
            sim.tick(0.5)
        self.fail(f"{text} is not proposed in {sim.value}")

    def joined(self, count):
        """Return a simulation whose hosts have all joined the view."""
        sim = Simulation(SLOTS)
        for slot in range(count):
            sim.start(slot)
        sim.tick(60)
        self.assertTrue(sim.serves_orders())
        return sim

    def test_member_that_agrees_late(self):
        """Guards against an agreement to a removal while a promise against it holds."""
        sim = self.joined(3)
        sim.partition({0, 1, 2}, "out")
        sim.cuts = {frozenset((0, 3)), frozenset((1, 3))}
        sim.start(3)
        self.tick_until_proposed(sim, '[{"host": "host-2", "incarnation": "run-3"')
        sim.tick(7)
        sim.cut_platform = {0, 1}
        for _ in range(16):
            sim.tick(0.5)
            self.send_everywhere(sim, [sim.new_id() for _ in range(6)])

    def test_reader_of_the_platform(self):
        """Guards against an activation while a platform read confirms the old view."""
        sim = self.joined(3)
        sim.partition({1, 2}, "both")
        self.tick_until_proposed(sim, '"proposed_by": "run-1"')
        sim.cut_platform = {1, 2}
        for _ in range(16):
            self.send_everywhere(sim, [sim.new_id(9.0) for _ in range(6)])
            sim.tick(0.5)
        sim.heal()
        sim.tick(30)
        self.send_everywhere(sim, sim.ids[-90:])

    def test_proof_of_death(self):
        """Guards against trust in the death of a member that agreed to a removal."""
        sim = self.joined(3)
        sim.partition({0, 1}, "out")
        sim.tick(30)
        sim.kill(2)
        sim.cuts, sim.cut_platform = set(), {0, 1, 2}
        sim.start(2)
        for _ in range(10):
            sim.tick(1)
            self.send_everywhere(sim, [sim.new_id() for _ in range(2)])
        sim.heal()
        sim.tick(60)
        self.send_everywhere(sim, sim.ids)

    def test_record_lost(self):
        """Guards against running orders again after the view record was lost."""
        sim = self.joined(2)
        self.send_everywhere(sim, [sim.new_id() for _ in range(10)])
        sim.kill(0)
        sim.kill(1)
        sim.value, sim.revision = "null", Revision(sim.revision.epoch + 1, 0)
        sim.start(2)
        sim.start(3)
        sim.tick(30)
        self.send_everywhere(sim, list(sim.ids))
