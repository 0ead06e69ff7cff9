"""Random faults of a deployment, each with a `begin` and an `end`."""

from tests.support.deployment import DOMAINS, HOSTS, Deployment, domain_of


def hosts_in(domain: str) -> list[str]:
    """Return the names of a failure domain's hosts."""
    return [name for name in HOSTS if domain_of(name) == domain]


class CutDomain:
    """Cuts a failure domain off from the platform and the other domains."""

    def __init__(self, world: Deployment):
        self.domain = world.rng.choice(DOMAINS)

    async def begin(self, world):
        members = hosts_in(self.domain)
        others = [name for name in HOSTS if name not in members]
        world.faults.cut(members, [*others, "platform"])

    async def end(self, world):
        world.faults.heal()


class CutHosts:
    """Cuts the links between some hosts, or between them and the platform."""

    def __init__(self, world: Deployment):
        self.left = world.rng.sample(HOSTS, world.rng.randint(1, 3))
        self.right = world.rng.sample((*HOSTS, "platform"), world.rng.randint(1, 4))

    async def begin(self, world):
        world.faults.cut(self.left, self.right)

    async def end(self, world):
        world.faults.heal()


class PlatformFault:
    """Makes the platform unavailable, slow, or lose the answers to writes."""

    def __init__(self, world: Deployment):
        self.kind = world.rng.choice(("down", "slow", "loses"))

    async def begin(self, world):
        world.platform.down = self.kind == "down"
        world.platform.delay = 1.5 if self.kind == "slow" else 0.0
        world.platform.lose_answers = 4 if self.kind == "loses" else 0

    async def end(self, world):
        world.platform.down = False
        world.platform.delay = 0.0
        world.platform.lose_answers = 0


class RestorePlatform:
    """Restores the platform to an older state."""

    def __init__(self, world: Deployment):
        self.copy = world.platform.copy()

    async def begin(self, world):
        await world.clock.sleep(world.rng.uniform(0, 10))
        world.platform.restore(self.copy)

    async def end(self, world):
        pass


class ReplaceHosts:
    """Stops some hosts without draining and starts them again at their addresses."""

    def __init__(self, world: Deployment):
        self.names = world.rng.sample(HOSTS, world.rng.randint(1, 2))

    async def begin(self, world):
        self.names = [name for name in self.names if name in world.hosts]
        for name in self.names:
            await world.hosts.pop(name).close()

    async def end(self, world):
        for name in self.names:
            await world.start_host(name)


class FreezeHost:
    """Blocks all network operations of a host."""

    def __init__(self, world: Deployment):
        self.name = world.rng.choice(HOSTS)

    async def begin(self, world):
        world.faults.freeze(self.name)

    async def end(self, world):
        await world.faults.thaw(self.name)


class DrainHost:
    """Drains a host and starts it again."""

    def __init__(self, world: Deployment):
        self.name = world.rng.choice(HOSTS)
        self.drained = False

    async def begin(self, world):
        host = world.hosts.pop(self.name, None)
        if host is not None:
            self.drained = True
            await host.drain()

    async def end(self, world):
        if self.drained:
            await world.start_host(self.name)


class ServiceFault:
    """Makes a plain service run orders without answering, refuse them, or be slow."""

    def __init__(self, world: Deployment):
        self.service = world.services[world.rng.choice(DOMAINS)]
        self.kind = world.rng.choice(("loses", "refuses", "slow"))

    async def begin(self, world):
        self.service.lose_answers = 3 if self.kind == "loses" else 0
        self.service.refuse = 3 if self.kind == "refuses" else 0
        self.service.delay = 3.0 if self.kind == "slow" else 0.005

    async def end(self, world):
        self.service.lose_answers = 0
        self.service.refuse = 0
        self.service.delay = 0.005


class EngineFault:
    """Makes an engine truncate or stall some answers at a random byte."""

    def __init__(self, world: Deployment):
        self.engine = world.engines[world.rng.choice(DOMAINS)]
        self.kind = world.rng.choice(("cut_after", "stall_after"))

    async def begin(self, world):
        answers = [{self.kind: world.rng.randrange(900)} for _ in range(3)]
        self.engine.faults.update({"answers": answers})

    async def end(self, world):
        self.engine.faults.answers.clear()


FAULTS = (
    CutDomain,
    CutHosts,
    PlatformFault,
    RestorePlatform,
    ReplaceHosts,
    FreezeHost,
    DrainHost,
    ServiceFault,
    EngineFault,
)
