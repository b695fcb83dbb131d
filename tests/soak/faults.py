"""Random faults in overlapping series."""

import dataclasses
import random
from collections import Counter
from collections.abc import Callable
from typing import Any, Final

import gevent

from tests.soak.links import LinkState
from tests.soak.world import World

# Faults last up to this long; the longest outlast every timeout of a gateway.
MOST_SECONDS: Final = 6.0
# Several faults overlap on average.
MOST_PAUSE_SECONDS: Final = 1.5
_LINK_STATES: Final = (LinkState.SLOW, LinkState.SILENT, LinkState.ONE_WAY)

Fault = Callable[[World, random.Random], None]


@dataclasses.dataclass(kw_only=True)
class FaultSeries:
    """Faults drawn from one seed, each in a greenlet of its own."""

    world: World
    chance: random.Random
    counts: Counter[str] = dataclasses.field(default_factory=Counter)
    running: list[Any] = dataclasses.field(default_factory=list)

    def run(self, seconds: float) -> None:
        """Start faults for a time and wait until all of them are over."""
        with gevent.Timeout(seconds, False):
            while True:  # noqa: WPS457 - ended by the timeout
                self._start_one()
                gevent.sleep(self.chance.random() * MOST_PAUSE_SECONDS)
        gevent.joinall(self.running, raise_error=True)

    def _start_one(self) -> None:
        name = self.chance.choice(tuple(FAULTS))
        self.counts[name] += 1
        seed = self.chance.random()
        started = gevent.spawn(FAULTS[name], self.world, random.Random(seed))
        self.running.append(started)


def wait(chance: random.Random) -> None:
    """Let a fault last for a while."""
    gevent.sleep(chance.random() * MOST_SECONDS)


def kill_vm(world: World, chance: random.Random) -> None:
    """Kill a VM and start it again."""
    vm = chance.choice(world.vms)
    vm.kill()
    gevent.sleep(chance.random())
    vm.start()


def kill_all(world: World, chance: random.Random) -> None:
    """Kill all VMs at once and start them again."""
    for vm in world.vms:
        vm.kill()
    gevent.sleep(chance.random())
    for vm in world.vms:
        vm.start()


def restart_vm(world: World, chance: random.Random) -> None:
    """Stop a VM by its signal and start it again."""
    vm = chance.choice(world.vms)
    vm.stop()
    vm.start()


def roll(world: World, chance: random.Random) -> None:
    """Stop and start the VMs one after the other."""
    for vm in world.vms:
        vm.stop()
        vm.start()
        gevent.sleep(chance.random())


def pause_vm(world: World, chance: random.Random) -> None:
    """Freeze a VM for a while."""
    vm = chance.choice(world.vms)
    vm.pause()
    wait(chance)
    vm.resume()


def stop_store(world: World, chance: random.Random) -> None:
    """Let the store refuse all calls."""
    world.store.is_down = True
    wait(chance)
    world.store.is_down = False


def slow_store(world: World, chance: random.Random) -> None:
    """Let the store answer late."""
    world.store.delay_seconds = chance.random()
    wait(chance)
    world.store.delay_seconds = 0


def lose_appends(world: World, chance: random.Random) -> None:
    """Let the store carry appends out and not answer them."""
    world.store.loses_appends = True
    wait(chance)
    world.store.loses_appends = False


def harm_store_link(world: World, chance: random.Random) -> None:
    """Harm the way of one VM to the store."""
    link = chance.choice(world.vms).store_link
    link.state = chance.choice(_LINK_STATES)
    wait(chance)
    link.state = LinkState.GOOD


def harm_server_link(world: World, chance: random.Random) -> None:
    """Harm the way to one backend server."""
    link = chance.choice(world.backends).link
    link.state = chance.choice(_LINK_STATES)
    wait(chance)
    link.state = LinkState.GOOD


def reset_links(world: World, chance: random.Random) -> None:
    """Reset the connections of one VM or backend server."""
    links = [vm.link for vm in world.vms]
    links += [vm.store_link for vm in world.vms]
    links += [backend.link for backend in world.backends]
    chance.choice(links).reset()


def harm_server(world: World, chance: random.Random) -> None:
    """Let a backend server refuse, lose or break off what it gets."""
    backend = chance.choice(world.backends)
    way = chance.choice(('refuses', 'loses', 'breaks'))
    setattr(backend, way, True)  # noqa: B010
    wait(chance)
    setattr(backend, way, False)  # noqa: B010


def lapse_entry(world: World, chance: random.Random) -> None:
    """Remove the entry of a backend server for a while."""
    backend = chance.choice(world.backends)
    world.remove_entry(backend)
    wait(chance)
    world.put_entry(backend)


def change_configuration(world: World, chance: random.Random) -> None:
    """Publish configurations in quick succession."""
    for _ in range(chance.randint(1, 3)):
        world.publish()
        gevent.sleep(chance.random() / 2)


FAULTS: Final[dict[str, Fault]] = {  # noqa: WPS407 - read only
    function.__name__: function
    for function in (
        kill_vm,
        kill_all,
        restart_vm,
        roll,
        pause_vm,
        stop_store,
        slow_store,
        lose_appends,
        harm_store_link,
        harm_server_link,
        reset_links,
        harm_server,
        lapse_entry,
        change_configuration,
    )
}
