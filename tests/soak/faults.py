"""Random faults that overlap."""

import contextlib
import dataclasses
import random
import time
import types
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from typing import Any, Final

import gevent

from tests.soak.backends import DEADLY, STREAM_PATH, VERSIONS
from tests.soak.links import Cut, LinkState
from tests.soak.observations import LimitRecord
from tests.soak.workspaces import NAMES
from tests.soak.world import World

# Longer than every timeout of a gateway.
MAX_FAULT_SECONDS: Final = 6.0
# Short enough that several faults overlap on average.
MAX_PAUSE_SECONDS: Final = 1.5
# In requests a second; an engine of a soak gets more.
MAX_LIMIT: Final = 8.0
# Zero stands for a server that names no limit.
MIN_LIMIT: Final = 0.1
# Longer than VMs have to learn of a limit.
MIN_LIMIT_SECONDS: Final = 6.0
MAX_DEADLY_TRIES: Final = 12
BODY_BITS: Final = 32
# How long programs run before all VMs are lost, and how long nothing happens after
# the store is back: 8 s, then the time for five tries of a program.
MAX_CALM_SECONDS: Final = 4.0
RETURN_SECONDS: Final = 14.0
_LINK_STATES: Final = (LinkState.SLOW, LinkState.SILENT, LinkState.ONE_WAY)

Fault = Callable[[World, random.Random], None]


@dataclasses.dataclass(kw_only=True)
class FaultSeries:
    """Faults drawn from one seed, each in its own greenlet.

    ``is_sequential`` ones do not overlap.
    """

    world: World
    rng: random.Random
    faults: Mapping[str, Fault]
    is_sequential: bool = False
    counts: Counter[str] = dataclasses.field(default_factory=Counter)
    running: list[Any] = dataclasses.field(default_factory=list)

    def run(self, duration_seconds: float) -> None:
        """Start faults for a time, then wait until all of them have ended."""
        with gevent.Timeout(duration_seconds, False):
            while True:  # noqa: WPS457 - ended by the timeout
                self._start_one()
                gevent.sleep(self.rng.random() * MAX_PAUSE_SECONDS)
        gevent.joinall(self.running, raise_error=True)

    def _start_one(self) -> None:
        name = self.rng.choice(tuple(self.faults))
        self.counts[name] += 1
        seed = self.rng.random()
        greenlet = gevent.spawn(self._play, name, random.Random(seed))
        self.running.append(greenlet)
        if self.is_sequential:
            greenlet.join()

    def _play(self, name: str, rng: random.Random) -> None:
        with contextlib.ExitStack() as stack:
            if name not in PLANNED:
                stack.enter_context(
                    self.world.observations.disturbances.note(
                        is_store=name in STORE_FAULTS
                    )
                )
            self.faults[name](self.world, rng)


def wait_randomly(rng: random.Random) -> None:
    """Sleep for the random duration of a fault."""
    gevent.sleep(rng.random() * MAX_FAULT_SECONDS)


@contextlib.contextmanager
def note_store_trouble(world: World) -> Iterator[None]:
    """Record when all VMs may have lost touch with the store."""
    start = time.monotonic()
    yield
    world.observations.store_troubles.append((start, time.monotonic()))


def kill_vm(world: World, rng: random.Random) -> None:
    """Kill a VM and start it again."""
    vm = rng.choice(world.vms)
    vm.kill()
    world.note_absence()
    gevent.sleep(rng.random())
    vm.start()


def kill_all(world: World, rng: random.Random) -> None:
    """Kill all VMs at once and start them again."""
    for vm in world.vms:
        vm.kill()
    world.observations.losses.append(time.monotonic())
    gevent.sleep(rng.random())
    for vm in world.vms:
        vm.start()


def restart_vm(world: World, rng: random.Random) -> None:
    """Stop a VM with SIGTERM and start it again."""
    world.restart_vm(rng.choice(world.vms))


def roll(world: World, rng: random.Random) -> None:
    """Restart the VMs one after the other."""
    for vm in world.vms:
        world.restart_vm(vm)
        gevent.sleep(rng.random())


def pause_vm(world: World, rng: random.Random) -> None:
    """Freeze a VM for a while."""
    vm = rng.choice(world.vms)
    vm.pause()
    wait_randomly(rng)
    vm.resume()


def stop_store(world: World, rng: random.Random) -> None:
    """Make the store refuse all calls for a while."""
    with note_store_trouble(world):
        world.store.is_down = True
        wait_randomly(rng)
        world.store.is_down = False


def slow_store(world: World, rng: random.Random) -> None:
    """Delay the answers of the store for a while."""
    with note_store_trouble(world):
        world.store.delay_seconds = rng.random()
        wait_randomly(rng)
        world.store.delay_seconds = 0


def lose_appends(world: World, rng: random.Random) -> None:
    """Make the store execute appends without answering, for a while."""
    world.store.loses_appends = True
    wait_randomly(rng)
    world.store.loses_appends = False


def harm_store_link(world: World, rng: random.Random) -> None:
    """Slow down or silence the link of one VM to the store."""
    link = rng.choice(world.vms).store_link
    link.state = rng.choice(_LINK_STATES)
    wait_randomly(rng)
    link.state = LinkState.GOOD


def harm_server_link(world: World, rng: random.Random) -> None:
    """Slow down or silence the link to one backend server."""
    link = rng.choice(world.backends).link
    link.state = rng.choice(_LINK_STATES)
    wait_randomly(rng)
    link.state = LinkState.GOOD


def cut_vms_off(world: World, rng: random.Random) -> None:
    """Cut all links of some VMs, or of all, to backend servers for a while."""
    count = rng.randint(1, len(world.vms))
    vms = rng.sample(world.vms, count)
    how = rng.choice(tuple(Cut))
    for vm in vms:
        vm.server_links.cut(how)
    wait_randomly(rng)
    for vm in vms:
        vm.server_links.heal()


def cut_one_link(world: World, rng: random.Random) -> None:
    """Cut the link of one VM to one backend server for a while."""
    links = rng.choice(world.vms).server_links.list_links()
    if links:
        link = rng.choice(links)
        link.cut(rng.choice(tuple(Cut)))
        wait_randomly(rng)
        link.come_up()


def reset_links(world: World, rng: random.Random) -> None:
    """Reset the connections of one link."""
    links = [vm.link for vm in world.vms]
    links += [vm.store_link for vm in world.vms]
    links += [backend.link for backend in world.backends]
    rng.choice(links).reset()


def harm_server(world: World, rng: random.Random) -> None:
    """Make a backend server refuse, lose or break off requests."""
    backend = rng.choice(world.backends)
    failure = rng.choice(('refuses', 'loses', 'breaks'))
    setattr(backend, failure, True)  # noqa: B010
    wait_randomly(rng)
    setattr(backend, failure, False)  # noqa: B010


def release(world: World, rng: random.Random) -> None:
    """Replace the engines one after the other, some by another version."""
    for backend in world.backends:
        if backend.service == 'engines':
            world.restart_backend(backend, rng.choice(VERSIONS))
            gevent.sleep(rng.random())


def leave_server(world: World, rng: random.Random) -> None:
    """Let a backend server say that it leaves, and then start again.

    Its entry says that it is ready all the while.
    """
    backend = rng.choice(world.backends)
    server_id = backend.server_id
    backend.leaves = True
    wait_randomly(rng)
    if backend.server_id == server_id:
        world.restart_backend(backend, backend.version)


def limit_server(world: World, rng: random.Random) -> None:
    """Let a backend server name a limit, most often below its load."""
    backend = rng.choice(world.backends)
    if backend.limit:
        return
    server_id, start = backend.server_id, time.monotonic()
    backend.limit = round(rng.uniform(MIN_LIMIT, MAX_LIMIT), 1)
    rate = backend.limit
    gevent.sleep(MIN_LIMIT_SECONDS + rng.random() * MAX_FAULT_SECONDS)
    world.observations.limits.append(
        LimitRecord(
            server_id=server_id, rate=rate, start=start, end=time.monotonic()
        )
    )
    if backend.server_id == server_id:
        backend.limit = 0


def send_deadly(world: World, rng: random.Random) -> None:
    """Send a request again and again that crashes the servers that run it."""
    path = rng.choice((STREAM_PATH, '/look/x', '/book/x'))
    body = b'%b%d' % (DEADLY, rng.getrandbits(BODY_BITS))
    for _ in range(rng.randint(4, MAX_DEADLY_TRIES)):
        world.caller.call(path, body, kind='deadly')
        gevent.sleep(rng.random())


def lapse_entry(world: World, rng: random.Random) -> None:
    """Remove a backend server from the server list for a while."""
    backend = rng.choice(world.backends)
    world.remove_entry(backend)
    wait_randomly(rng)
    world.put_entry(backend)


def change_configuration(world: World, rng: random.Random) -> None:
    """Publish configurations in quick succession.

    Each takes a key of a workspace away and adds another one. The workspace is not
    drawn, so the faults of known seeds stay the same.
    """
    for _ in range(rng.randint(1, 3)):
        world.keys.replace(NAMES[world.version % len(NAMES)])
        world.publish()
        gevent.sleep(rng.random() / 2)


def stop_several(world: World, rng: random.Random) -> None:
    """Stop several VMs, a short time one after the other, and start each again."""
    vms = rng.sample(world.vms, rng.randint(1, len(world.vms)))
    stops = []
    for vm in vms:
        stops.append(gevent.spawn(world.restart_vm, vm))
        gevent.sleep(rng.random() / 2)
    gevent.joinall(stops, raise_error=True)


def stop_in_series(world: World, rng: random.Random) -> None:
    """Restart one VM several times in a row."""
    vm = rng.choice(world.vms)
    for _ in range(rng.randint(2, 3)):
        world.restart_vm(vm)
        gevent.sleep(rng.random() * 2)


def reread_settings(world: World, rng: random.Random) -> None:
    """Send SIGHUP to some VMs, several times each."""
    for vm in rng.sample(world.vms, rng.randint(1, len(world.vms))):
        for _ in range(rng.randint(1, 4)):
            vm.reread_settings()
            gevent.sleep(rng.random() / 4)


def drain_entry(world: World, rng: random.Random) -> None:
    """Let a backend server be drained for a while."""
    backend = rng.choice(world.backends)
    world.put_entry(backend, state='draining')
    wait_randomly(rng)
    world.put_entry(backend)


def lose_all_in_calm(world: World, rng: random.Random) -> None:
    """Kill all VMs, in some runs in an outage of the store, and wait."""
    gevent.sleep(rng.random() * MAX_CALM_SECONDS)
    disturbances = world.observations.disturbances
    if rng.choice((True, False)):
        with disturbances.note(is_store=True), note_store_trouble(world):
            world.store.is_down = True
            wait_randomly(rng)
            kill_all(world, rng)
            wait_randomly(rng)
            world.store.is_down = False
    else:
        with disturbances.note():
            kill_all(world, rng)
    gevent.sleep(RETURN_SECONDS)


def index_faults(*functions: Fault) -> Mapping[str, Fault]:
    """Return faults by their names."""
    return types.MappingProxyType({
        function.__name__: function for function in functions
    })


# The order belongs to the known seeds.
FAULTS: Final = index_faults(
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
    cut_vms_off,
    cut_one_link,
    reset_links,
    harm_server,
    release,
    leave_server,
    limit_server,
    send_deadly,
    lapse_entry,
    change_configuration,
)
PLANNED_FAULTS: Final = index_faults(
    restart_vm,
    roll,
    stop_several,
    stop_in_series,
    reread_settings,
    lapse_entry,
    drain_entry,
    change_configuration,
)
LOSSES: Final = index_faults(lose_all_in_calm)
# Faults that excuse no lost request. A loss in calm times notes its own spans.
PLANNED: Final = frozenset((*PLANNED_FAULTS, *LOSSES))
STORE_FAULTS: Final = frozenset(
    function.__name__ for function in (stop_store, slow_store, lose_appends)
)
